package bmcli

import (
	"context"
	"fmt"

	"basilmoor.example/basilmoor/internal/node/bmsettings"
)

func runRestore(ctx context.Context, args []string, env Env) int {
	s := bmsettings.NewSet("restore", "Brings a store that was restored from an old backup forward to the configuration that a node holds.\nNothing is written if the store's version is not an ancestor of that configuration.")
	r := declareRemoteFlags(s)
	if _, code, ok := parseSettings(s, args, env); !ok {
		return code
	}
	restored, err := r.client().RestoreStore(ctx)
	if err != nil {
		return reportNoteError(env, err)
	}
	if r.json {
		return printJSON(env.Stdout, restored)
	}
	fmt.Fprintf(env.Stdout, "the store holds version %d or a later one\n", restored.Version)
	return ExitOK
}
