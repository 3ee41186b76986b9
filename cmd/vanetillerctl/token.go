// This file implements the command that creates a token.

package main

import (
	"context"
	"fmt"
	"strings"

	"github.com/pkg/errors"

	"github.com/vanetiller/vanetiller/internal/tenant"
)

// createToken prints a new token, which is not stored anywhere, and an entry with
// its hash for the tokens file.
func createToken(_ context.Context, inv invocation) error {
	if err := inv.checkArguments(2, 3, "a NAME, a ROLE and, unless the role is administrator, a TEAM"); err != nil {
		return err
	}
	token := tenant.NewToken()
	entry := tenant.TokenEntry{Name: inv.arguments[0], Hash: token.Hash().String(), Role: tenant.Role(inv.arguments[1])}
	if len(inv.arguments) == 3 {
		entry.Team = tenant.Team(inv.arguments[2])
	}
	text, err := entry.Encode()
	if err != nil {
		var invalid tenant.Error
		if errors.As(err, &invalid) {
			return newUsageError("%s: %s", strings.ToUpper(invalid.Key), invalid.Rule)
		}
		return err
	}
	fmt.Fprintf(inv.output, "%s\n\n%s", token, text)
	return nil
}
