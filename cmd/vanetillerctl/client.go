// This file creates the client of the administration API.

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

// connect returns a client for the server, token and certificates of the flags.
func (o options) connect() (*adminapi.Client, error) {
	if o.server == "" {
		return nil, newUsageError("-server is required")
	}
	if o.tokenFile == "" {
		return nil, newUsageError("-token-file is required")
	}
	token, err := os.ReadFile(o.tokenFile)
	if err != nil {
		return nil, errors.Wrap(err, "read the token file")
	}
	config, err := o.tlsConfig()
	if err != nil {
		return nil, err
	}
	transport := &http.Client{Transport: &http.Transport{TLSClientConfig: config}}
	client, err := adminapi.NewClient(o.server, tenant.Token(strings.TrimSpace(string(token))), transport)
	if err != nil {
		return nil, newUsageError("%s", err)
	}
	return client, nil
}

func (o options) tlsConfig() (*tls.Config, error) {
	now := time.Now()
	if o.certificate != "" {
		reloader, err := tlsfiles.Open(tlsfiles.Files{Certificate: o.certificate, Key: o.key, CA: o.authority}, now)
		if err != nil {
			return nil, err
		}
		// The HTTP client sets the server name from the URL.
		return reloader.ClientConfig(""), nil
	}
	config := &tls.Config{MinVersion: tls.VersionTLS13}
	if o.authority == "" {
		return config, nil
	}
	caPool, err := tlsfiles.LoadCAPool(o.authority, now)
	config.RootCAs = caPool
	return config, err
}
