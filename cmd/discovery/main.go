// Command discovery is the project's discovery service (docs/discovery.md).
//
//	discovery serve --id a --peer a=RAFT=HTTP --peer b=RAFT=HTTP --peer c=RAFT=HTTP --dir DATA
//	discovery agent --replica HTTP --replica HTTP --listen 127.0.0.1:PORT
//	discovery serve ... --fleet FILE.toml
//	discovery agent ... --node NAME --zone ZONE --dir DATA [--service NAME ...]
//	discovery tenants apply FILE | status NAME | delete NAME --replica HTTP --replica HTTP
//
// discovery serve runs one replica of a cluster of three or five. It serves PROTOCOL's GET /registry/instances and the
// registration API. discovery agent runs beside a node, watches the list at the replicas and serves it to the node. With --fleet,
// serve is also a replica of the fleet's control plane, and with --node, agent is also the node's fleet agent (docs/fleet.md).
// discovery tenants is the operators' client of the tenants' API.
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
