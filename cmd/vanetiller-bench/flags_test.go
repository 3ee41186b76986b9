package main

import (
	"context"
	"io"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Flags", func() {
	DescribeTable("are accepted before and after the experiment",
		func(arguments ...string) {
			var values runFlags
			flags := newFlagSet("run", &values, time.Second)
			flags.SetOutput(io.Discard)
			positional, err := parseInterleaved(flags, arguments)
			Expect(err).NotTo(HaveOccurred())
			Expect(positional).To(Equal([]string{"churn"}))
			Expect(values.seed).To(BeEquivalentTo(7))
			Expect(values.shape).To(Equal("kolkata"))
		},
		Entry("before", "-seed", "7", "-shape", "kolkata", "churn"),
		Entry("after", "churn", "-seed", "7", "-shape", "kolkata"),
		Entry("around", "-seed", "7", "churn", "-shape=kolkata"),
	)

	DescribeTable("exit with the status for wrong usage when the arguments are invalid",
		func(arguments ...string) {
			Expect(dispatch(context.Background(), arguments)).To(Equal(exitUsage))
		},
		Entry("no command"),
		Entry("unknown command", "walk"),
		Entry("no experiment", "run"),
		Entry("two experiments", "run", "churn", "steady"),
		Entry("unknown experiment", "run", "picnic"),
		Entry("unknown shape", "run", "churn", "-shape", "nowhere"),
		Entry("unknown baseline", "run", "churn", "-baseline", "luck"),
		Entry("negative duration", "run", "churn", "-duration", "-1s"),
		Entry("unknown flag", "run", "churn", "-speed", "9"),
		Entry("argument of demo", "demo", "churn"),
	)

	DescribeTable("exit with success when help or a list is requested",
		func(arguments ...string) {
			Expect(dispatch(context.Background(), arguments)).To(Equal(exitOK))
		},
		Entry("all", "-help"),
		Entry("run", "run", "-help"),
		Entry("demo", "demo", "-help"),
		Entry("list", "list"),
	)
})
