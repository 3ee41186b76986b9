// This file implements the making of tokens.

package main

import (
	"context"
	"fmt"
	"strings"

	"github.com/pkg/errors"

	"github.com/vanetiller/vanetiller/internal/tenant"
)

// createToken prints a token, which is stored nowhere, and the entry with its
// hash for the tokens file.
func createToken(_ context.Context, called invocation) error {
	if err := called.takes(2, 3, "a NAME, a ROLE and, unless the role is administrator, a TEAM"); err != nil {
		return err
	}
	token := tenant.NewToken()
	entry := tenant.TokenEntry{Name: called.arguments[0], Hash: token.Hash().String(), Role: tenant.Role(called.arguments[1])}
	if len(called.arguments) == 3 {
		entry.Team = tenant.Team(called.arguments[2])
	}
	text, err := entry.Encode()
	if err != nil {
		var broken tenant.Error
		if errors.As(err, &broken) {
			return wrongUsage("%s: %s", strings.ToUpper(broken.Key), broken.Rule)
		}
		return err
	}
	fmt.Fprintf(called.output, "%s\n\n%s", token, text)
	return nil
}
