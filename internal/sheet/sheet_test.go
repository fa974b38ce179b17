package sheet

import (
	"errors"
	"strings"
	"testing"
)

// export has the irregularities of the planners' exports: byte order mark, semicolons, CRLF, a blank row, a
// decomposed accented name, a quoted separator and thousands separators.
const export = "\xef\xbb\xbfkind;account;team;data_centre;members;accelerators;adjacency;count;spare;priority;weight;quota\r\n" +
	"account;Associação;;;;;;;;10;1.000;\r\n" +
	";;;;;;;;;;;\r\n" +
	"team;Associac\u0327a\u0303o;\"noite; 2\";;;;;;;;;\"1,024\"\r\n" +
	"guarantee;Associação;;perth-1;4;8;rack;2;yes;;;\r\n"

func TestParseAcceptsIrregularExport(t *testing.T) {
	got, err := Parse(strings.NewReader(export))
	if err != nil {
		t.Fatal(err)
	}
	if len(got.Accounts) != 1 || got.Accounts[0].Weight != 1000 {
		t.Errorf("accounts = %v, want one of weight 1000", got.Accounts)
	}
	if len(got.Teams) != 1 || got.Teams[0].Name != "noite; 2" || got.Teams[0].Quota != 1024 {
		t.Errorf("teams = %v, want one named \"noite; 2\" with quota 1024", got.Teams)
	}
	if len(got.Guarantees) != 1 || !got.Guarantees[0].Spare || got.Guarantees[0].Shape.Members != 4 {
		t.Errorf("guarantees = %v, want one of 4 members with a spare", got.Guarantees)
	}
}

func TestParseReportsEveryProblem(t *testing.T) {
	tests := []struct {
		name string
		csv  string
		want []string
	}{
		{"empty", "", []string{"empty"}},
		{"unknown column", "kind,account,colour\n", []string{"line 1, column colour"}},
		{"open quote", "kind,account\naccount,\"a\n", []string{"close every quote"}},
		{"no account", "kind,account\n", []string{"no client account"}},
		{"many", "kind,account,members,accelerators,adjacency,weight\n" +
			"acount,a,,,,\n" +
			"account,b,,,,many\n" +
			"account,,,,,\n" +
			"guarantee,b,-1,8,row,\n", []string{
			"line 2, column kind: \"acount\"",
			"line 3, column weight: \"many\"",
			"line 4, column account",
			"line 5, column members: \"-1\"",
			"line 5, column adjacency: \"row\"",
		}},
		{"values", "kind,account,members,accelerators,adjacency,count\n" +
			"account,a,,,,\naccount,a,,,,\n" +
			"guarantee,c,65,3,rack,0\n", []string{
			"line 3, column account: \"a\"",
			"line 4, column account: \"c\"",
			"line 4, column members: \"65\"",
			"line 4, column accelerators: \"3\"",
			"line 4, column count: \"0\"",
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := Parse(strings.NewReader(test.csv))
			var sheetError *Error
			if !errors.As(err, &sheetError) {
				t.Fatalf("error = %v, want an *Error", err)
			}
			for _, want := range test.want {
				if !strings.Contains(err.Error(), want) {
					t.Errorf("error doesn't contain %q:\n%v", want, err)
				}
			}
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(export))
	f.Add([]byte("kind,account\naccount,\"a\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		got, err := Parse(strings.NewReader(string(data)))
		if err == nil && Check(got) != nil {
			t.Error("Check rejects a sheet that Parse accepts")
		}
	})
}
