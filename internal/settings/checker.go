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

// checker converts untyped values and collects the rules they break. Every
// method returns the zero value after a broken rule, so that the caller can go
// on to find the others.
type checker struct {
	file       string
	lines      positions
	overridden []string
	errors     Errors
}

// MaxNameLength bounds the names of processes and zones, in bytes.
const MaxNameLength = 64

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

// addressRule tells which addresses a key takes.
type addressRule struct {
	// unspecified allows 0.0.0.0, which only listeners can use.
	unspecified bool
	// anyPort allows port 0.
	anyPort bool
}

var (
	listenAddress = addressRule{unspecified: true}
	httpAddress   = addressRule{unspecified: true, anyPort: true}
	remoteAddress = addressRule{}
)

func (c *checker) broken(key, rule string, arguments ...any) {
	rule = fmt.Sprintf(rule, arguments...)
	if slices.Contains(c.overridden, key) {
		c.errors = append(c.errors, Error{CommandLine, 0, key, rule})
		return
	}
	c.errors = append(c.errors, Error{c.file, c.lines.lineOf(key), key, rule})
}

func (c *checker) text(key string, value any) (string, bool) {
	if value == nil {
		c.broken(key, "is required")
		return "", false
	}
	text, isText := value.(string)
	if !isText {
		c.broken(key, "must be a string")
	}
	return text, isText
}

func (c *checker) name(key string, value any) string {
	text, ok := c.text(key, value)
	if !ok {
		return ""
	}
	if len(text) > MaxNameLength || !namePattern.MatchString(text) {
		c.broken(key, "must have 1 to %d letters, digits, dots, hyphens or underscores and begin with a letter or digit", MaxNameLength)
		return ""
	}
	return text
}

// rowName takes whatever names the configuration table allows.
func (c *checker) rowName(key string, value any) string {
	text, ok := c.text(key, value)
	if !ok {
		return ""
	}
	if text == "" || len(text) > table.MaxNameLength {
		c.broken(key, "must have 1 to %d bytes", table.MaxNameLength)
		return ""
	}
	return text
}

// path takes the name of a file, which is not opened here.
func (c *checker) path(key string, value any) string {
	text, ok := c.text(key, value)
	if !ok {
		return ""
	}
	if text == "" {
		c.broken(key, "must be the name of a file")
	}
	return text
}

func (c *checker) level(key string, value any) log.Level {
	text, ok := c.text(key, value)
	if !ok {
		return 0
	}
	switch text {
	case "debug", "info", "warn", "error":
	default:
		c.broken(key, "must be debug, info, warn or error")
		return 0
	}
	level, err := log.ParseLevel(text)
	if err != nil {
		c.broken(key, "%s", err)
	}
	return level
}

func (c *checker) address(key string, value any, rule addressRule) netip.AddrPort {
	text, ok := c.text(key, value)
	if !ok {
		return netip.AddrPort{}
	}
	parsed, err := netip.ParseAddrPort(text)
	if err != nil || !parsed.Addr().Is4() {
		c.broken(key, "must be an IPv4 address and a port, such as 192.0.2.1:6081")
		return netip.AddrPort{}
	}
	if parsed.Addr().IsUnspecified() && !rule.unspecified {
		c.broken(key, "must not be the unspecified address 0.0.0.0")
		return netip.AddrPort{}
	}
	if parsed.Port() == 0 && !rule.anyPort {
		c.broken(key, "must have a port other than 0")
		return netip.AddrPort{}
	}
	return parsed
}

func (c *checker) addresses(key string, value any, rule addressRule) []netip.AddrPort {
	if value == nil {
		c.broken(key, "is required")
		return nil
	}
	items, isArray := value.([]any)
	if !isArray || len(items) == 0 {
		c.broken(key, "must be an array of at least one address")
		return nil
	}
	var parsed []netip.AddrPort
	for _, item := range items {
		address := c.address(key, item, rule)
		if address.IsValid() && slices.Contains(parsed, address) {
			c.broken(key, "names %s twice", address)
		}
		parsed = append(parsed, address)
	}
	return parsed
}

func (c *checker) names(key string, value any, most int) []string {
	if value == nil {
		c.broken(key, "is required")
		return nil
	}
	items, isArray := value.([]any)
	if !isArray || len(items) == 0 || len(items) > most {
		c.broken(key, "must be an array of 1 to %d names", most)
		return nil
	}
	var names []string
	for _, item := range items {
		name := c.name(key, item)
		if name != "" && slices.Contains(names, name) {
			c.broken(key, "names %s twice", name)
		}
		names = append(names, name)
	}
	return names
}

func (c *checker) duration(key string, value any, least, most time.Duration) time.Duration {
	text, ok := c.text(key, value)
	if !ok {
		return 0
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		c.broken(key, "must be a duration with a unit, such as 500ms or 20s")
		return 0
	}
	if parsed < least || parsed > most {
		c.broken(key, "must be from %s to %s", least, most)
		return 0
	}
	return parsed
}

func (c *checker) integer(key string, value any, least, most int) int {
	if value == nil {
		c.broken(key, "is required")
		return 0
	}
	number, isInteger := value.(int64)
	if !isInteger {
		c.broken(key, "must be an integer")
		return 0
	}
	if number < int64(least) || number > int64(most) {
		c.broken(key, "must be from %d to %d", least, most)
		return 0
	}
	return int(number)
}

// number takes a whole number or a fraction.
func (c *checker) number(key string, value any, least, most float64) float64 {
	number, isNumber := value.(float64)
	if whole, isWhole := value.(int64); isWhole {
		number, isNumber = float64(whole), true
	}
	if !isNumber || !(number >= least && number <= most) {
		c.broken(key, "must be a number from %g to %g", least, most)
		return least
	}
	return number
}

func (c *checker) url(key string, value any) string {
	text, ok := c.text(key, value)
	if !ok {
		return ""
	}
	parsed, err := url.Parse(text)
	if err != nil || parsed.Host == "" || (parsed.Scheme != "http" && parsed.Scheme != "https") {
		c.broken(key, "must be an http or https URL, such as http://192.0.2.1:9000/v1/configuration")
		return ""
	}
	return text
}

func (c *checker) baseline(key string, value any) Baseline {
	text, ok := c.text(key, value)
	if !ok {
		return BaselineNone
	}
	baseline := Baseline(text)
	if baseline != BaselineNone && baseline != BaselineHash {
		c.broken(key, "must be empty or %q", BaselineHash)
		return BaselineNone
	}
	return baseline
}
