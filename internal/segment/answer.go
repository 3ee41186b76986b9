package segment

import "time"

// AnswerKind tells what the first packet of an answer shows of how the request went.
type AnswerKind uint8

// The kinds of answers.
const (
	// AnswerUnreadable: the packet shows no answer, or too little of one.
	AnswerUnreadable AnswerKind = iota
	// AnswerSuccess: the endpoint has answered; an error of the client's is such an answer.
	AnswerSuccess
	// AnswerFailure: the endpoint says that it has failed.
	AnswerFailure
	// AnswerRefusal: the endpoint says that it has not run the request.
	AnswerRefusal
)

// Answer is what is read of an answer. The packet is passed on unchanged.
type Answer struct {
	Kind AnswerKind
	// RetryAfter is when the endpoint wants to be asked again, 0 if it does not say.
	RetryAfter time.Duration
}
