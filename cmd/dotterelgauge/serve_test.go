package main

import (
	"os"
	"path/filepath"
	"testing"
	"time"
)

const (
	completeSettings = `NodeName = "i0"
[Listen]
Front = "127.0.0.1:1"
Readiness = "127.0.0.1:2"
[Bounds]
GraceS = 6
ConfigApplyMs = 2000
MaxHoldMs = 10000
[platform]
Address = "127.0.0.1:3"
`
	// writeTime is how long after a start the settings file is complete.
	writeTime = 200 * time.Millisecond
)

// Guards against an instance that doesn't start because its settings file is just being written.
func TestStartWaitsForCompleteSettings(t *testing.T) {
	for name, partial := range map[string]string{"empty": "", "cut off": completeSettings[:60], "cut off in a line": completeSettings[:12]} {
		path := filepath.Join(t.TempDir(), "node.toml")
		t.Setenv("DOTTERELGAUGE_NODE_FILE", path)
		if err := os.WriteFile(path, []byte(partial), 0o600); err != nil {
			t.Fatal(err)
		}
		written := time.AfterFunc(writeTime, func() { _ = os.WriteFile(path, []byte(completeSettings), 0o600) })
		_, settings, problems, err := awaitSettings()
		written.Stop()
		if err != nil || len(problems) > 0 || settings.StoreAddress != "127.0.0.1:3" {
			t.Errorf("%s: settings %+v, problems %v, %v", name, settings, problems, err)
		}
	}
}

// Guards against a start that waits for ever for a settings file with which no instance can run.
func TestStartFailsWithIncompleteSettings(t *testing.T) {
	path := filepath.Join(t.TempDir(), "node.toml")
	t.Setenv("DOTTERELGAUGE_NODE_FILE", path)
	if err := os.WriteFile(path, []byte(completeSettings[:60]), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, _, _, err := awaitSettings(); err == nil {
		t.Error("no error for a file without the store's address")
	}
}
