/**
 * Entry point of a stand-in process, which serves one simulated component over HTTP.
 *
 * @module
 */

import { Cli, Command, Option, UsageError } from "clipanion";
import { type Clock, SystemClock } from "../src/state/mod.js";
import { ENGINE_PROFILES, EngineModel } from "./engine_model.js";
import { serveEngine } from "./engine_server.js";
import { LogModel } from "./log_model.js";
import { serveLog, serveVmList, serveWeightStore } from "./platform_server.js";
import { EffectLedger, ServiceModel } from "./service_model.js";
import { servePlainService } from "./service_server.js";
import { VmListModel } from "./vm_list_model.js";
import { WeightStoreModel } from "./weight_store_model.js";

/** Propagation delay of the VM list, in milliseconds. */
const VM_LIST_LAG_MS = 1_000;

/** Total transfer rate of the weight store, in bytes per second. */
const WEIGHT_STORE_BYTES_PER_SECOND = 2_000_000_000;

/** Command that runs one stand-in until it receives SIGTERM. */
class StandInCommand extends Command {
    static override paths = [Command.Default];
    kind = Option.String("--kind", { required: true });
    port = Option.String("--port", { required: true });
    profile = Option.String("--profile", "medium");

    override async execute(): Promise<void> {
        await this.serve(Number(this.port), new SystemClock());
        await new Promise<void>(resolve => {
            process.once("SIGTERM", () => resolve());
            // The terminal also sends SIGINT to the stand-ins; the launcher terminates them after the daemons.
            process.on("SIGINT", () => undefined);
        });
        process.exit(0);
    }

    private async serve(port: number, clock: Clock): Promise<void> {
        switch (this.kind) {
            case "engine":
                await serveEngine(port, new EngineModel(clock, ENGINE_PROFILES[this.profile as keyof typeof ENGINE_PROFILES]));
                return;
            case "service":
                await servePlainService(port, new ServiceModel(clock, new EffectLedger()));
                return;
            case "log":
                await serveLog(port, new LogModel(clock));
                return;
            case "vm-list":
                await serveVmList(port, new VmListModel(clock, VM_LIST_LAG_MS));
                return;
            case "weight-store":
                await serveWeightStore(port, new WeightStoreModel(clock, WEIGHT_STORE_BYTES_PER_SECOND));
                return;
            default:
                throw new UsageError(`Option --kind is "${this.kind}"; give engine, service, log, vm-list or weight-store.`);
        }
    }
}

await Cli.from(StandInCommand, { binaryName: "stand-in" }).runExit(process.argv.slice(2));
