package settings

import (
	"errors"
	"strings"
	"testing"
)

const valid = `
name = "i1"
data_centre = "perth-1"
[addresses]
callers = "127.0.0.1:7001"
operators = "127.0.0.1:7002"
peers = "127.0.0.1:7003"
[platform]
log = "127.0.0.1:7100"
instance_list = "127.0.0.1:7101"
[peers]
secret = "0123456789abcdef"
[operator]
token = "operator-token-0001"
[[callers]]
account = "co-op"
token = "caller-token-000001"
`

func TestParseFillsDefaults(t *testing.T) {
	got, err := Parse("valid.toml", []byte(valid))
	if err != nil {
		t.Fatal(err)
	}
	if got.Leases.TermMs != defaultTermMillis || got.Objective.Preset != PresetLounge || got.Weight != defaultWeight {
		t.Errorf("defaults are not filled in: %v", got)
	}
}

func TestExamplesAreValid(t *testing.T) {
	for _, file := range []string{"../../examples/lounge/instance.toml", "../../examples/gallery/instance.toml"} {
		if _, err := Load(file); err != nil {
			t.Error(err)
		}
	}
}

func TestParseNamesEveryProblem(t *testing.T) {
	broken := strings.NewReplacer(
		`"127.0.0.1:7002"`, `"127.0.0.1:7001"`,
		`log = "127.0.0.1:7100"`, `log = "localhost"`,
		`"0123456789abcdef"`, `"short"`,
		`token = "operator-token-0001"`, `token = "caller-token-000001"`,
		`name = "i1"`, `nam = "i1"`+"\nweight = 5000",
	).Replace(valid) + "[leases]\nterm_ms = \"15s\"\n[objective]\npreset = \"fast\"\n"
	_, err := Parse("broken.toml", []byte(broken))
	var settingsError *Error
	if !errors.As(err, &settingsError) {
		t.Fatalf("error = %v, want an *Error", err)
	}
	for _, want := range []string{
		"nam: unknown key", "name: missing", "weight: 5000 is out of range",
		"addresses.operators: the same as addresses.callers", "platform.log: \"localhost\" is not an address",
		"peers.secret: missing or too short", "callers[0].token: the same as operator.token",
		"leases.term_ms: 15s is not a whole number: write milliseconds", "objective.preset: \"fast\" is not a preset",
	} {
		if !strings.Contains(err.Error(), "broken.toml: "+want) {
			t.Errorf("error lacks %q:\n%v", want, err)
		}
	}
}

func TestParseNamesLineOfSyntaxError(t *testing.T) {
	_, err := Parse("bad.toml", []byte("name = \"a\"\nweight = = 3\n"))
	if err == nil || !strings.Contains(err.Error(), "line 2") {
		t.Errorf("error = %v, want one that names line 2", err)
	}
}
