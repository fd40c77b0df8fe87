package bmnote

import (
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"basilmoor.example/basilmoor/internal/config/bmcatalog"
)

func readExampleNote(t testing.TB) string {
	text, err := os.ReadFile("../../../docs/examples/first-note.yaml")
	require.NoError(t, err)
	return string(text)
}

func mustParse(t testing.TB, text string) *Note {
	n, err := Parse([]byte(text))
	require.NoError(t, err)
	return n
}

func exampleContent(t testing.TB) bmcatalog.Content {
	c, err := Apply(bmcatalog.Content{}, mustParse(t, readExampleNote(t)))
	require.NoError(t, err)
	return c
}

// Guards against an example in the documentation that is not a valid note.
func TestFirstNoteIsValid(t *testing.T) {
	c := exampleContent(t)
	require.Len(t, c.Targets, 3)
	require.Len(t, c.Tiers, 3)
	require.Len(t, c.Workspaces, 2)
	require.Len(t, c.Kinds, 3)
}

func noteWithBody(body string) string {
	return "schema: 1\nnote: test\n" + body
}

// Guards against faults that are not detected or are reported at the wrong
// location. Each case lists all expected faults as "line path rule".
func TestFaults(t *testing.T) {
	const digest = "0c372c4c7016f01394dc55892d027caa7ffcdea7baa1e82609f20c10e2d168aa"
	tests := map[string]struct {
		text string
		want []string
	}{
		"empty": {
			text: "",
			want: []string{"1 note syntax"},
		},
		"broken": {
			text: "schema: 1\nnote: [",
			want: []string{"2 note syntax"},
		},
		"two documents": {
			text: noteWithBody("---\nschema: 1\n"),
			want: []string{"3 note syntax"},
		},
		"alias": {
			text: noteWithBody("added: &a\n  tiers: []\nchanged: *a\n"),
			want: []string{"3 note syntax", "5 note syntax"},
		},
		"nothing in it": {
			text: noteWithBody(""),
			want: []string{"1 note empty"},
		},
		"other schema": {
			text: "schema: 2\nnote: test\nwithdrawn: {pools: [x]}\n",
			want: []string{"1 schema schema", "3 withdrawn.pools[0] absent"},
		},
		"no head fields": {
			text: "added:\n  tiers: []\n",
			want: []string{"1 note missing", "1 schema missing"},
		},
		"unknown fields": {
			text: noteWithBody("remarks: x\nadded:\n  teams: []\n  tiers:\n    - name: gold\n      rank: 9\n      colour: red\n"),
			want: []string{"3 remarks unknown-field", "5 added.teams unknown-field", "9 added.tiers[0].colour unknown-field"},
		},
		"types": {
			text: noteWithBody("added:\n  tiers:\n    - name: 7\n      rank: high\n    - rank: 8\n  pools: x\n  targets:\n    - name: a\n      leaving:\n"),
			want: []string{
				"5 added.tiers[0].name type", "6 added.tiers[0].rank type", "7 added.tiers[1].name missing",
				"8 added.pools type", "10 added.targets[0].address missing", "10 added.targets[0].data-centre missing",
				"10 added.targets[0].pool missing", "10 added.targets[0].slots missing", "10 added.targets[0].type missing",
				"11 added.targets[0].leaving missing",
			},
		},
		"named twice": {
			text: noteWithBody("changed:\n  tiers:\n    - {name: batch, rank: 5}\n    - {name: batch, rank: 6}\nwithdrawn:\n  tiers: [batch]\n"),
			want: []string{"6 changed.tiers[1] duplicate", "8 withdrawn.tiers[0] duplicate"},
		},
		"present and absent": {
			text: noteWithBody("added:\n  tiers:\n    - {name: batch, rank: 5}\nchanged:\n  pools:\n    - {name: none, region: r}\nwithdrawn:\n  kinds: [none]\n"),
			want: []string{"5 added.tiers[0] already-present", "8 changed.pools[0] absent", "10 withdrawn.kinds[0] absent"},
		},
		"in use": {
			text: noteWithBody("withdrawn:\n  tiers: [batch]\n  pools: [orders-east]\n"),
			want: []string{"4 withdrawn.tiers[0] in-use", "5 withdrawn.pools[0] in-use"},
		},
		"dangling": {
			text: noteWithBody("added:\n  kinds:\n    - name: a\n      path-prefix: /a\n      pool: none\n      tier: none\nchanged:\n  workspaces:\n    - {name: seedleaf, default-tier: none}\n"),
			want: []string{"7 added.kinds[0].pool dangling", "8 added.kinds[0].tier dangling", "11 changed.workspaces[0].default-tier dangling"},
		},
		"last target leaves": {
			text: noteWithBody("changed:\n  targets:\n    - name: orders-goldsboro-1\n      leaving: true\n"),
			want: []string{"5 changed.targets[0] kind-unserved"},
		},
		"last target withdrawn": {
			text: noteWithBody("withdrawn:\n  targets:\n    - engine-kinston-1\n    - engine-wilson-1\n"),
			want: []string{"5 withdrawn.targets[0] kind-unserved", "6 withdrawn.targets[1] kind-unserved"},
		},
		"kind too long for every target": {
			text: noteWithBody("changed:\n  kinds:\n    - name: label-reviews\n      expected-prompt-tokens: 40000\n"),
			want: []string{"5 changed.kinds[0] kind-unserved"},
		},
		"same model, path and rank": {
			text: noteWithBody("added:\n  tiers:\n    - {name: a, rank: 0}\n  kinds:\n    - {name: m, pool: reviews-east, model: label-review}\n    - {name: p, pool: orders-east, path-prefix: /stock/}\n"),
			want: []string{"5 added.tiers[0].rank duplicate", "7 added.kinds[0].model duplicate", "8 added.kinds[1].path-prefix duplicate"},
		},
		"token used twice": {
			text: noteWithBody("added:\n  workspaces:\n    - name: other\n      weight: 1\n      default-tier: batch\n      token-digests: [" + digest + "]\n"),
			want: []string{"8 added.workspaces[0].token-digests duplicate"},
		},
		"values": {
			text: noteWithBody("added:\n  workspaces:\n    - {name: Bad_Name, weight: 0, token-digests: [secret], rate-per-second: -1}\n" +
				"  kinds:\n    - {name: k, pool: orders-east, path-prefix: stock, model: m}\n" +
				"  targets:\n    - {name: t, pool: orders-east, type: other, address: host:80, data-centre: kinston, slots: 0}\n"),
			want: []string{
				"5 added.workspaces[0].default-tier missing", "5 added.workspaces[0].name value", "5 added.workspaces[0].rate-per-second value",
				"5 added.workspaces[0].token-digests value", "5 added.workspaces[0].weight value",
				"7 added.kinds[0] kind-unserved", "7 added.kinds[0].path-prefix value",
				"9 added.targets[0].address value", "9 added.targets[0].slots value", "9 added.targets[0].type value",
			},
		},
	}
	content := exampleContent(t)
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := Validate([]byte(tt.text), content, 1)
			var invalid *InvalidError
			require.ErrorAs(t, err, &invalid)
			var got []string
			for _, f := range invalid.Faults {
				s := f.String()
				got = append(got, strings.Join(strings.Fields(strings.NewReplacer("line ", "", ":", " ").Replace(s))[:3], " "))
			}
			require.Equal(t, tt.want, got, "%v", err)
			require.NotContains(t, err.Error(), "secret", "the error must not contain a token that was given by mistake")
		})
	}
}

// Guards against a change that resets fields that the note does not set, against
// a nondeterministic order of the plan, and against an Apply that modifies its
// input.
func TestPlan(t *testing.T) {
	n := mustParse(t, `{"schema":1,"note":"two","base-version":1,
	"added":{"pools":[{"name":"drafts","region":"carolina-east"}]},
	"changed":{"workspaces":[{"name":"seedleaf","weight":5}],"targets":[{"name":"engine-wilson-1","models":["label-review","draft"],"leaving":true}]},
	"withdrawn":{"kinds":["stock-lookups"],"workspaces":["seedleaf-archive"]}}`)
	content := exampleContent(t)
	for range 3 {
		p, next, err := NewPlan(content, 1, n)
		require.NoError(t, err)
		require.Equal(t, `note two on version 1: 5 changes
~ workspace seedleaf
    weight: 3 -> 5
- workspace seedleaf-archive
- kind stock-lookups
+ pool drafts
    region: carolina-east
~ target engine-wilson-1
    models: [label-review] -> [label-review draft]
    leaving: (none) -> true
`, p.Text())
		require.Equal(t, "standard", next.Workspaces[0].DefaultTier)
		text, err := p.JSON()
		require.NoError(t, err)
		require.Contains(t, string(text), `"action": "withdraw"`)
	}
	require.Equal(t, exampleContent(t), content)
}

// Guards against a digest that depends on the layout, which would make a
// resubmitted note appear to be a different one.
func TestDigestIgnoresLayout(t *testing.T) {
	a := mustParse(t, noteWithBody("withdrawn:\n  pools: [x] # remark\n"))
	b := mustParse(t, "{\"withdrawn\": {\"pools\":\t[\"x\"]},\n\t\"note\": \"test\", \"schema\": 1}")
	c := mustParse(t, noteWithBody("withdrawn:\n  pools: [y]\n"))
	require.Equal(t, a.Digest(), b.Digest())
	require.NotEqual(t, a.Digest(), c.Digest())
}

// Guards against panics, faults without a line or path, and a canonical form that
// does not parse to the same note.
func FuzzParse(f *testing.F) {
	f.Add([]byte(readExampleNote(f)))
	content := exampleContent(f)
	f.Fuzz(func(t *testing.T, text []byte) {
		n, err := Parse(text)
		_, validateErr := Validate(text, content, 1)
		if err != nil {
			require.Error(t, validateErr)
		}
		if err != nil {
			var invalid *InvalidError
			require.ErrorAs(t, err, &invalid)
			for _, fault := range invalid.Faults {
				require.Positive(t, fault.Line)
				require.NotEmpty(t, fault.Path)
			}
			return
		}
		again, err := Parse(n.Canonical())
		require.NoError(t, err)
		require.Equal(t, n.Digest(), again.Digest())
		require.Equal(t, n.AffectedItems(), again.AffectedItems())
		_, err = Apply(bmcatalog.Content{}, n)
		if err != nil {
			var invalid *InvalidError
			require.ErrorAs(t, err, &invalid)
		}
	})
}
