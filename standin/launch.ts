/**
 * Launcher of a local fleet: starts the processes, sends sample calls for each operation and prints the results.
 *
 * @module
 */

import { Cli, Command, Option } from "clipanion";
import { fileURLToPath } from "node:url";
import { readDeployment } from "./deployment.js";
import { LocalFleet } from "./local_fleet.js";
import { formatSample, sendSample } from "./sample.js";

/** Deployment file used when none is given. */
const DEFAULT_DEPLOYMENT = fileURLToPath(new URL("../../examples/rastro-sul.yaml", import.meta.url));

/** First port used when none is given. */
const DEFAULT_BASE_PORT = "7100";

/** Operator key of the launched fleet. */
const OPERATOR_KEY = "local-operator-key";

/** Command that starts a local fleet. */
class LaunchCommand extends Command {
    static override paths = [Command.Default];
    static override usage = Command.Usage({ description: "Starts a local fleet and sends it a sample of each operation." });
    deploymentFile = Option.String("--deployment", DEFAULT_DEPLOYMENT, { description: "Deployment file in YAML." });
    basePort = Option.String("--base-port", DEFAULT_BASE_PORT, { description: "First port, or 0 for any free ports." });
    once = Option.Boolean("--once", false, { description: "End after the sample." });

    override async execute(): Promise<number> {
        const { stdout } = this.context;
        const deployment = await readDeployment(this.deploymentFile);
        const fleet = new LocalFleet({ deployment, basePort: Number(this.basePort), operatorKey: OPERATOR_KEY });
        const interrupted = new Promise<void>(resolve => {
            process.once("SIGINT", () => resolve());
            process.once("SIGTERM", () => resolve());
        });
        try {
            await fleet.start();
            const results = await sendSample(fleet, deployment);
            stdout.write(formatSample(results));
            if (this.once) {
                return results.every(result => result.metObjective) ? 0 : 1;
            }
            stdout.write(this.describe(fleet, deployment.workspaces[0].key));
            await interrupted;
            stdout.write("Draining.\n");
            return 0;
        }
        finally {
            await fleet.stop();
        }
    }

    private describe(fleet: LocalFleet, workspaceKey: string): string {
        const [daemon] = fleet.daemons;
        return [
            "",
            `Daemons for callers: ${fleet.daemons.map(each => each.callerAddress).join(", ")}`,
            `Workspace key: ${workspaceKey}`,
            `Operators: export FOXTAILRAIL_ADDRESS=${daemon.peerAddress} FOXTAILRAIL_KEY_FILE=${fleet.keyFile}`,
            "Then: npx foxtailrail status",
            "Ctrl-C drains the fleet and ends it.",
            "",
        ].join("\n");
    }
}

await Cli.from(LaunchCommand, { binaryName: "npm start --" }).runExit(process.argv.slice(2));
