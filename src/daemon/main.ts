#!/usr/bin/env -S node --max-old-space-size=160
/**
 * Command-line entry point of `foxtailraild`.
 *
 * @module
 */

import { Builtins, Cli, Command, Option } from "clipanion";
import { pino } from "pino";
import { SeededRandom, SystemClock } from "../state/mod.js";
import { CertificateError } from "../transport/mod.js";
import { Daemon } from "./daemon.js";
import { readSettings } from "./settings.js";
import { SettingsError } from "./settings_file.js";

/** Exit code when the settings or certificate files are invalid. */
const EXIT_INVALID_SETTINGS = 2;

/** Exit code when calls were still active at the end of a drain. */
const EXIT_DRAIN_INCOMPLETE = 3;

/** Runs the daemon, or only checks its settings file. */
class RunCommand extends Command {
    static override paths = [Command.Default];
    static override usage = Command.Usage({
        description: "Runs one entry VM of foxtailrail.",
        examples: [
            ["Run with a settings file", "foxtailraild --settings entry-1.yaml"],
            ["Check a settings file", "foxtailraild --settings entry-1.yaml --check"],
        ],
    });

    settingsFile = Option.String("--settings", { required: true, description: "Settings file in YAML." });
    check = Option.Boolean("--check", false, { description: "Check the settings and exit." });

    override async execute(): Promise<number> {
        try {
            const settings = await readSettings(this.settingsFile);
            if (this.check) {
                this.context.stdout.write(`Settings ${this.settingsFile} are valid.\n`);
                return 0;
            }
            const logger = pino({ level: settings.logLevel, base: { node: settings.node } });
            const clock = new SystemClock();
            const random = new SeededRandom(process.pid ^ Math.floor(clock.now()));
            const daemon = new Daemon({ settings, clock, random, logger });
            const stop = new StopSignals();
            await daemon.start();
            await stop.first;
            return await daemon.drain(stop.second) > 0 ? EXIT_DRAIN_INCOMPLETE : 0;
        }
        catch (error) {
            if (!(error instanceof SettingsError || error instanceof CertificateError)) {
                throw error;
            }
            this.context.stderr.write(`${error.message}\n`);
            return EXIT_INVALID_SETTINGS;
        }
    }
}

/** Receives SIGTERM and SIGINT from the start on: the first one begins the drain, and a second one ends it early. */
class StopSignals {
    /** Resolves with the first signal. */
    readonly first: Promise<void>;
    /** Aborted with the second signal. */
    readonly second: AbortSignal;

    constructor() {
        const secondAbort = new AbortController();
        this.second = secondAbort.signal;
        this.first = new Promise(resolve => {
            let signals = 0;
            const onSignal = () => {
                signals += 1;
                if (signals > 1) {
                    secondAbort.abort();
                }
                resolve();
            };
            process.on("SIGTERM", onSignal);
            process.on("SIGINT", onSignal);
        });
        // Settings are read at the start only; by default, the signal ends the process.
        process.on("SIGHUP", () => undefined);
    }
}

const cli = new Cli({ binaryName: "foxtailraild", binaryLabel: "foxtailrail daemon" });
cli.register(RunCommand);
cli.register(Builtins.HelpCommand);
process.exit(await cli.run(process.argv.slice(2), Cli.defaultContext));
