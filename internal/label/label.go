// Package label converts the values of small enumerations, such as reasons for dropping a
// packet, to the names used in metrics and logs.
package label

// invalid is the name of a value that is not part of its enumeration.
const invalid = "invalid"

// Of returns the name of a value. names lists the names in the order of the enumeration,
// which starts at zero.
func Of[Value ~uint8](names []string, value Value) string {
	if int(value) < len(names) {
		return names[value]
	}
	return invalid
}

// All returns the values of an enumeration that starts at zero and has count values.
func All[Value ~uint8](count Value) []Value {
	all := make([]Value, count)
	for index := range all {
		all[index] = Value(index)
	}
	return all
}
