package policy

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

// defaultSeed makes the random histories the same in every run; -rapid.seed overrides it.
const defaultSeed = "20261204"

func TestMain(m *testing.M) {
	flag.Parse()
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == "rapid.seed" })
	for name, value := range map[string]string{"rapid.seed": defaultSeed, "rapid.nofailfile": "true"} {
		if given && name == "rapid.seed" {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			fmt.Println(err)
			os.Exit(2)
		}
	}
	fmt.Println("rapid seed:", flag.Lookup("rapid.seed").Value)
	os.Exit(m.Run())
}
