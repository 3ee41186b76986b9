package segment

import "time"

// AnswerKind is the result of a request, as far as the first packet of its answer shows it.
type AnswerKind uint8

// The kinds of answers.
const (
	// AnswerUnreadable: the packet holds no answer, or too little of one.
	AnswerUnreadable AnswerKind = iota
	// AnswerSuccess: the endpoint answered the request. This includes answers that report an
	// error of the client.
	AnswerSuccess
	// AnswerFailure: the endpoint reports that it failed.
	AnswerFailure
	// AnswerRefusal: the endpoint reports that it did not execute the request.
	AnswerRefusal
)

// Answer holds what a daemon reads from an answer. The packet is forwarded unchanged.
type Answer struct {
	Kind AnswerKind
	// RetryAfter is the time after which the endpoint accepts a retry, 0 if it gives none.
	RetryAfter time.Duration
}
