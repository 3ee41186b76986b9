package settings

// CommandLine stands for the file in errors of overridden keys.
const CommandLine = "command line"

// Key names a setting that can be overridden.
type Key string

// The settings that can be overridden.
const (
	KeyName     Key = "name"
	KeyZone     Key = "zone"
	KeyLogLevel Key = "log.level"
)

// Override takes the place of one key of the file.
type Override struct {
	Key   Key
	Value string
}

func (c *checker) apply(raw *document, overrides []Override) {
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
