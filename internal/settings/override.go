package settings

// CommandLine is the Error.File of a key that is overridden.
const CommandLine = "command line"

// Key is the dotted key of a setting that can be overridden.
type Key string

// The settings that can be overridden.
const (
	KeyName     Key = "name"
	KeyZone     Key = "zone"
	KeyLogLevel Key = "log.level"
)

// Override replaces the value of one key of the file.
type Override struct {
	Key   Key
	Value string
}

func (c *checker) applyOverrides(raw *document, overrides []Override) {
	for _, override := range overrides {
		switch override.Key {
		case KeyName:
			raw.Name = override.Value
		case KeyZone:
			raw.Zone = override.Value
		case KeyLogLevel:
			raw.Log.Level = override.Value
		default:
			c.errors = append(c.errors, Error{CommandLine, 0, string(override.Key), "cannot be overridden"})
			continue
		}
		c.overridden = append(c.overridden, string(override.Key))
	}
}
