// This file implements the generated parts of a page: what stands between two
// marker comments is replaced by the outcome of a run.

package slopes

import (
	"os"
	"strings"

	"github.com/pkg/errors"
)

// documentMode is the mode of a page that is written anew.
const documentMode = 0o644

func beginMarker(part string) string { return "<!-- generated: " + part + " -->" }

func endMarker(part string) string { return "<!-- end of generated: " + part + " -->" }

// Replace returns the page with the text between the markers of a part
// replaced. It fails if the page does not have both markers, in order.
func Replace(page, part, text string) (string, error) {
	head, rest, found := strings.Cut(page, beginMarker(part))
	if !found {
		return "", errors.Errorf("the page has no marker %q", beginMarker(part))
	}
	_, tail, found := strings.Cut(rest, endMarker(part))
	if !found {
		return "", errors.Errorf("the page has no marker %q behind that of the beginning", endMarker(part))
	}
	return head + beginMarker(part) + "\n\n" + strings.TrimSpace(text) + "\n\n" + endMarker(part) + tail, nil
}

// Part is a generated part of a page.
type Part struct {
	Name string
	Text string
}

// Rewrite replaces parts of the page in a file. Nothing is written if a part
// cannot be replaced.
func Rewrite(path string, parts []Part) error {
	content, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "page")
	}
	page := string(content)
	for _, part := range parts {
		page, err = Replace(page, part.Name, part.Text)
		if err != nil {
			return errors.Wrap(err, path)
		}
	}
	return errors.Wrap(os.WriteFile(path, []byte(page), documentMode), "page")
}
