package simnet_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestSimnet(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "simnet")
}
