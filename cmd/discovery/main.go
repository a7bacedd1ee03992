// Command discovery is the project's discovery service (docs/discovery.md).
//
//	discovery serve --id a --peer a=RAFT=HTTP --peer b=RAFT=HTTP --peer c=RAFT=HTTP --dir DATA
//	discovery agent --replica HTTP --replica HTTP --listen 127.0.0.1:PORT
//	discovery serve ... --fleet FILE.toml
//	discovery agent ... --node NAME --zone ZONE --dir DATA [--service NAME ...]
//	discovery tenants apply FILE | status NAME | delete NAME --replica HTTP --replica HTTP
//
// serve runs one replica of three or five: PROTOCOL's GET /registry/instances and the registration API.
// agent runs beside a node and serves it the list it watches from the replicas.
// With --fleet and --node the two are the control plane and the agent of docs/fleet.md, too.
package main

import (
	"os"

	"github.com/spf13/cobra"
)

func main() {
	root := &cobra.Command{Use: "discovery", Short: "The list of app servers, replicated", SilenceUsage: true}
	root.AddCommand(serveCmd(), agentCmd(), tenantsCmd())
	if err := root.Execute(); err != nil {
		os.Exit(1)
	}
}
