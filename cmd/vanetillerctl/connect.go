// This file implements the connection to the administration API.

package main

import (
	"crypto/tls"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/vanetiller/vanetiller/internal/adminapi"
	"github.com/vanetiller/vanetiller/internal/tenant"
	"github.com/vanetiller/vanetiller/internal/tlsfiles"
)

// connect returns a client of the server of the flags.
func (o options) connect() (*adminapi.Client, error) {
	if o.server == "" {
		return nil, wrongUsage("-server is required")
	}
	if o.tokenFile == "" {
		return nil, wrongUsage("-token-file is required")
	}
	token, err := os.ReadFile(o.tokenFile)
	if err != nil {
		return nil, errors.Wrap(err, "token")
	}
	config, err := o.tls()
	if err != nil {
		return nil, err
	}
	transport := &http.Client{Transport: &http.Transport{TLSClientConfig: config}}
	client, err := adminapi.NewClient(o.server, tenant.Token(strings.TrimSpace(string(token))), transport)
	if err != nil {
		return nil, wrongUsage("%s", err)
	}
	return client, nil
}

func (o options) tls() (*tls.Config, error) {
	now := time.Now()
	if o.certificate != "" {
		source, err := tlsfiles.Open(tlsfiles.Files{Certificate: o.certificate, Key: o.key, CA: o.authority}, now)
		if err != nil {
			return nil, err
		}
		// The name of the server is that of its URL.
		return source.ClientConfig(""), nil
	}
	config := &tls.Config{MinVersion: tls.VersionTLS13}
	if o.authority == "" {
		return config, nil
	}
	authority, err := tlsfiles.LoadCAPool(o.authority, now)
	config.RootCAs = authority
	return config, err
}
