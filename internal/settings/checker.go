package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"regexp"
	"slices"
	"time"

	"github.com/charmbracelet/log"

	"github.com/vanetiller/vanetiller/internal/table"
)

// checker converts untyped TOML values to typed settings and collects the
// errors. A conversion that fails records an error and returns a placeholder,
// so that the remaining keys are still checked.
type checker struct {
	file       string
	lines      keyLines
	overridden []string
	errors     Errors
}

// MaxNameLength is the maximum length of process and zone names, in bytes.
const MaxNameLength = 64

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

// addressPolicy defines which addresses a key accepts.
type addressPolicy struct {
	// allowUnspecified accepts 0.0.0.0. Only a listener can use this address.
	allowUnspecified bool
	// allowPortZero accepts port 0, for which the system chooses a free port.
	allowPortZero bool
}

var (
	listenAddress = addressPolicy{allowUnspecified: true}
	httpAddress   = addressPolicy{allowUnspecified: true, allowPortZero: true}
	remoteAddress = addressPolicy{}
)

// addError records that the value of key breaks a rule. The error names the
// command line if the value is an override, and otherwise the file and line.
func (c *checker) addError(key, rule string, arguments ...any) {
	rule = fmt.Sprintf(rule, arguments...)
	if slices.Contains(c.overridden, key) {
		c.errors = append(c.errors, Error{CommandLine, 0, key, rule})
		return
	}
	c.errors = append(c.errors, Error{c.file, c.lines.lineOf(key), key, rule})
}

func (c *checker) stringValue(key string, value any) (string, bool) {
	if value == nil {
		c.addError(key, "is required")
		return "", false
	}
	text, isString := value.(string)
	if !isString {
		c.addError(key, "must be a string")
	}
	return text, isString
}

func (c *checker) name(key string, value any) string {
	text, ok := c.stringValue(key, value)
	if !ok {
		return ""
	}
	if len(text) > MaxNameLength || !namePattern.MatchString(text) {
		c.addError(key, "must have 1 to %d letters, digits, dots, hyphens or underscores and begin with a letter or digit", MaxNameLength)
		return ""
	}
	return text
}

// tableRowName accepts every name that the configuration table allows for a
// service or a back end.
func (c *checker) tableRowName(key string, value any) string {
	text, ok := c.stringValue(key, value)
	if !ok {
		return ""
	}
	if text == "" || len(text) > table.MaxNameLength {
		c.addError(key, "must have 1 to %d bytes", table.MaxNameLength)
		return ""
	}
	return text
}

// filePath accepts any non-empty string. It does not open the file.
func (c *checker) filePath(key string, value any) string {
	text, ok := c.stringValue(key, value)
	if !ok {
		return ""
	}
	if text == "" {
		c.addError(key, "must be the name of a file")
	}
	return text
}

func (c *checker) logLevel(key string, value any) log.Level {
	text, ok := c.stringValue(key, value)
	if !ok {
		return 0
	}
	switch text {
	case "debug", "info", "warn", "error":
	default:
		c.addError(key, "must be debug, info, warn or error")
		return 0
	}
	level, err := log.ParseLevel(text)
	if err != nil {
		c.addError(key, "%s", err)
	}
	return level
}

func (c *checker) address(key string, value any, policy addressPolicy) netip.AddrPort {
	text, ok := c.stringValue(key, value)
	if !ok {
		return netip.AddrPort{}
	}
	parsed, err := netip.ParseAddrPort(text)
	if err != nil || !parsed.Addr().Is4() {
		c.addError(key, "must be an IPv4 address and a port, such as 192.0.2.1:6081")
		return netip.AddrPort{}
	}
	if parsed.Addr().IsUnspecified() && !policy.allowUnspecified {
		c.addError(key, "must not be the unspecified address 0.0.0.0")
		return netip.AddrPort{}
	}
	if parsed.Port() == 0 && !policy.allowPortZero {
		c.addError(key, "must have a port other than 0")
		return netip.AddrPort{}
	}
	return parsed
}

func (c *checker) addresses(key string, value any, policy addressPolicy) []netip.AddrPort {
	if value == nil {
		c.addError(key, "is required")
		return nil
	}
	items, isArray := value.([]any)
	if !isArray || len(items) == 0 {
		c.addError(key, "must be an array of at least one address")
		return nil
	}
	var parsed []netip.AddrPort
	for _, item := range items {
		address := c.address(key, item, policy)
		if address.IsValid() && slices.Contains(parsed, address) {
			c.addError(key, "contains %s twice", address)
		}
		parsed = append(parsed, address)
	}
	return parsed
}

func (c *checker) names(key string, value any, maximum int) []string {
	if value == nil {
		c.addError(key, "is required")
		return nil
	}
	items, isArray := value.([]any)
	if !isArray || len(items) == 0 || len(items) > maximum {
		c.addError(key, "must be an array of 1 to %d names", maximum)
		return nil
	}
	var names []string
	for _, item := range items {
		name := c.name(key, item)
		if name != "" && slices.Contains(names, name) {
			c.addError(key, "contains %s twice", name)
		}
		names = append(names, name)
	}
	return names
}

func (c *checker) duration(key string, value any, minimum, maximum time.Duration) time.Duration {
	text, ok := c.stringValue(key, value)
	if !ok {
		return 0
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		c.addError(key, "must be a duration with a unit, such as 500ms or 20s")
		return 0
	}
	if parsed < minimum || parsed > maximum {
		c.addError(key, "must be from %s to %s", minimum, maximum)
		return 0
	}
	return parsed
}

func (c *checker) integer(key string, value any, minimum, maximum int) int {
	if value == nil {
		c.addError(key, "is required")
		return 0
	}
	number, isInteger := value.(int64)
	if !isInteger {
		c.addError(key, "must be an integer")
		return 0
	}
	if number < int64(minimum) || number > int64(maximum) {
		c.addError(key, "must be from %d to %d", minimum, maximum)
		return 0
	}
	return int(number)
}

// float accepts a TOML integer or float.
func (c *checker) float(key string, value any, minimum, maximum float64) float64 {
	number, isNumber := value.(float64)
	if integer, isInteger := value.(int64); isInteger {
		number, isNumber = float64(integer), true
	}
	if !isNumber || !(number >= minimum && number <= maximum) {
		c.addError(key, "must be a number from %g to %g", minimum, maximum)
		return minimum
	}
	return number
}

func (c *checker) url(key string, value any) string {
	text, ok := c.stringValue(key, value)
	if !ok {
		return ""
	}
	parsed, err := url.Parse(text)
	if err != nil || parsed.Host == "" || (parsed.Scheme != "http" && parsed.Scheme != "https") {
		c.addError(key, "must be an http or https URL, such as http://192.0.2.1:9000/v1/configuration")
		return ""
	}
	return text
}

func (c *checker) baseline(key string, value any) Baseline {
	text, ok := c.stringValue(key, value)
	if !ok {
		return BaselineNone
	}
	baseline := Baseline(text)
	if baseline != BaselineNone && baseline != BaselineHash {
		c.addError(key, "must be empty or %q", BaselineHash)
		return BaselineNone
	}
	return baseline
}
