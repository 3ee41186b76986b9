// This file implements the commands hollow and slopes.

package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/vanetiller/vanetiller/bench/hollow"
	"github.com/vanetiller/vanetiller/bench/slopes"
)

// pageOutput is the page that the commands hollow and slopes rewrite, if any.
type pageOutput struct {
	// page is a Markdown file of which part is rewritten; empty for none.
	page string
	part string
}

func (o *pageOutput) addFlags(flags *flag.FlagSet, part string) {
	flags.StringVar(&o.page, "write", "", "`path` of a page whose generated part is rewritten (default: none)")
	flags.StringVar(&o.part, "part", part, "`name` of the generated part")
}

// hollowCommand runs a fleet of hollow processes in virtual time and prints the
// report as JSON.
func hollowCommand(ctx context.Context, arguments []string) int {
	var output pageOutput
	options, err := parseHollow(arguments, &output)
	if err != nil {
		return usageError(err)
	}
	report, cost, err := hollow.Run(ctx, options)
	if err != nil {
		return failed(err)
	}
	if err := printEncoded(report.Encode); err != nil {
		return failed(err)
	}
	const mebibyte = 1 << 20
	took := fmt.Sprintf("took %.0f s and at most %d MiB of heap", cost.Wall.Seconds(), cost.Heap/mebibyte)
	fmt.Fprintln(os.Stderr, took)
	return output.write(slopes.Part{
		Name: output.part,
		Text: commandLine("hollow", arguments) + "; " + took + ".\n\n" + report.Markdown(),
	})
}

// commandLine names the command that reproduces a generated part. The page is
// left out, since where it lies does not matter.
func commandLine(command string, arguments []string) string {
	words := []string{"vanetiller-bench", command}
	for index := 0; index < len(arguments); index++ {
		if arguments[index] == "-write" {
			index++
			continue
		}
		word := arguments[index]
		if strings.Contains(word, " ") {
			word = strconv.Quote(word)
		}
		words = append(words, word)
	}
	return "`" + strings.Join(words, " ") + "`"
}

func (o *pageOutput) write(parts ...slopes.Part) int {
	if o.page == "" {
		return exitKept
	}
	if err := slopes.Rewrite(o.page, parts); err != nil {
		return failed(err)
	}
	return exitKept
}

func printEncoded(encode func() ([]byte, error)) error {
	encoded, err := encode()
	if err != nil {
		return err
	}
	_, err = fmt.Println(string(encoded))
	return errors.Wrap(err, "report")
}

func failed(err error) int {
	fmt.Fprintln(os.Stderr, "vanetiller-bench:", err)
	return exitBroken
}

func parseHollow(arguments []string, output *pageOutput) (hollow.Options, error) {
	options := hollow.TargetOptions()
	options.Progress = os.Stderr
	var divisor int
	var liveness string
	flags := flag.NewFlagSet("hollow", flag.ContinueOnError)
	output.addFlags(flags, "hollow")
	flags.Uint64Var(&options.Seed, "seed", options.Seed, "`number` that determines the run")
	flags.IntVar(&divisor, "divisor", 1, "`number` by which fleet and load are smaller than the target")
	flags.IntVar(&options.DaemonsPerAgent, "daemons-per-agent", options.DaemonsPerAgent, "`number` of daemons that an agent sends heartbeats to")
	flags.StringVar(&liveness, "liveness", string(options.Liveness), "`source` of agents' liveness: registry (heartbeats heard) or agreed (told at no cost)")
	flags.DurationVar(&options.Starting, "starting", options.Starting, "virtual `time` without flows at the beginning")
	flags.DurationVar(&options.Filling, "filling", options.Filling, "virtual `time` in which the open flows are reached")
	flags.DurationVar(&options.Duration, "duration", options.Duration, "measured virtual `time`")
	flags.DurationVar(&options.ChangeInterval, "change-interval", options.ChangeInterval, "virtual `time` between changes of the table; 0 for none")
	flags.Float64Var(&options.Loss, "loss", options.Loss, "`probability` that a datagram is lost")
	flags.BoolVar(&options.Faults, "faults", options.Faults, "whether processes, a rack, a zone and a region fail")
	noFlows := flags.Bool("no-flows", false, "leave out the flows, to measure control traffic only")
	if err := flags.Parse(arguments); err != nil {
		return hollow.Options{}, err
	}
	if flags.NArg() > 0 {
		return hollow.Options{}, errors.Errorf("unexpected argument %q", flags.Arg(0))
	}
	if divisor < 1 {
		return hollow.Options{}, errors.New("-divisor must be at least 1")
	}
	options.Liveness = hollow.Liveness(liveness)
	if *noFlows {
		options.OpenFlows, options.NewFlows, options.Probes = 0, 0, 0
		options.Filling = time.Second
	}
	return options.Scaled(divisor), nil
}

// slopesCommand measures costs against their drivers and prints the report as
// JSON.
func slopesCommand(ctx context.Context, arguments []string) int {
	var output pageOutput
	flags := flag.NewFlagSet("slopes", flag.ContinueOnError)
	output.addFlags(flags, "slopes")
	only := flags.String("only", "", "`names` of measurements, separated by commas (default: all); -write needs all")
	if err := flags.Parse(arguments); err != nil {
		return usageError(err)
	}
	if flags.NArg() > 0 {
		return usageError(errors.Errorf("unexpected argument %q", flags.Arg(0)))
	}
	options := slopes.Options{Progress: os.Stderr}
	if *only != "" {
		options.Only = strings.Split(*only, ",")
	}
	report, err := slopes.Run(ctx, options)
	if err != nil {
		return failed(err)
	}
	if err := printEncoded(report.Encode); err != nil {
		return failed(err)
	}
	if output.page == "" {
		return exitKept
	}
	return writeSlopes(output, report, commandLine("slopes", arguments))
}

// capacityPart is the part of the page that is computed from slopes.
const capacityPart = "capacity"

func writeSlopes(output pageOutput, report slopes.Report, command string) int {
	lines, err := report.Capacity()
	if err != nil {
		return failed(err)
	}
	return output.write(
		slopes.Part{Name: output.part, Text: command + ". " + report.Markdown()},
		slopes.Part{Name: capacityPart, Text: command + ".\n\n" + slopes.CapacityMarkdown(lines)},
	)
}
