// Package label names the values of small enumerations, such as reasons for
// dropping a packet, as they appear in metrics and logs.
package label

// invalid is the name of a value outside its enumeration.
const invalid = "invalid"

// Of returns the name of a value, names being in the order of the enumeration,
// which starts at zero.
func Of[Value ~uint8](names []string, value Value) string {
	if int(value) < len(names) {
		return names[value]
	}
	return invalid
}

// All lists the values of an enumeration that starts at zero and has count
// values.
func All[Value ~uint8](count Value) []Value {
	all := make([]Value, count)
	for index := range all {
		all[index] = Value(index)
	}
	return all
}
