package netstack_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestNetstack(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "netstack")
}
