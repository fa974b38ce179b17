// The command rig2 plays the cases of the second review that are scripts: it starts instances of the project as processes on
// loopback, beside its own stand-ins of the store, the workers and the clients, and checks one rule. It exits with 1 if the rule
// was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"flag"
	"fmt"
	"os"
)

// Exit codes.
const (
	ruleHeld = iota
	ruleBroken
	notRun
)

func main() {
	name := flag.String("case", "", "the case")
	recordPath := flag.String("record", "record.txt", "the file for what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "with the disruption")
	program := flag.String("program", "target/dotterelgauge", "the program of the instances")
	flag.Parse()
	os.Exit(play(*name, *recordPath, *program, *trouble))
}

// play plays a case and returns the exit code.
func play(name, recordPath, program string, trouble bool) int {
	run, known := cases[name]
	if !known {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return notRun
	}
	f, err := newFleet(program, recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer f.close()
	f.log("case %s, trouble=%v", name, trouble)
	broken, err := run(f, trouble)
	switch {
	case err != nil:
		f.log("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return notRun
	case len(broken) > 0:
		for _, line := range broken {
			f.log("BROKEN %s", line)
			fmt.Println("BROKEN", line)
		}
		return ruleBroken
	}
	f.log("the rule held")
	fmt.Println("the rule held")
	return ruleHeld
}
