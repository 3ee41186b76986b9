// This file reloads the tokens file without a restart.

package tenant

import (
	"bytes"
	"os"
	"time"

	"github.com/pkg/errors"
)

// TokenFile loads a tokens file into an AdmissionController. It is not safe for
// concurrent use, but its AdmissionController is.
type TokenFile struct {
	path      string
	content   []byte
	admission *AdmissionController
}

// OpenTokenFile reads and validates a tokens file. It returns an Error if the
// content is invalid, and another error if the file cannot be read.
func OpenTokenFile(path string) (*TokenFile, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read the tokens file")
	}
	credentials, err := ParseCredentials(path, content)
	if err != nil {
		return nil, err
	}
	return &TokenFile{path: path, content: content, admission: NewAdmissionController(credentials)}, nil
}

// AdmissionController returns the controller that uses the loaded credentials.
func (f *TokenFile) AdmissionController() *AdmissionController { return f.admission }

// Reload reads the file again and reports whether its content has changed and was
// applied. If the file cannot be read or is invalid, the previous credentials stay
// in use.
func (f *TokenFile) Reload(now time.Time) (changed bool, err error) {
	content, err := os.ReadFile(f.path)
	if err != nil {
		return false, errors.Wrap(err, "read the tokens file")
	}
	if bytes.Equal(content, f.content) {
		return false, nil
	}
	credentials, err := ParseCredentials(f.path, content)
	if err != nil {
		return false, err
	}
	f.content = content
	f.admission.Replace(credentials, now)
	return true, nil
}
