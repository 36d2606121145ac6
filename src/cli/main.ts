#!/usr/bin/env node
/**
 * Program `foxtailrail`.
 *
 * @module
 */

import { Builtins, Cli } from "clipanion";
import { ConfigApplyCommand, ConfigDiffCommand, ConfigShowCommand } from "./config_commands.js";
import {
    RolloutListCommand,
    RolloutPauseCommand,
    RolloutResumeCommand,
    RolloutRollbackCommand,
    RolloutShowCommand,
    RolloutStartCommand,
    RolloutWatchCommand,
} from "./rollout_commands.js";
import { SendCommand } from "./send_command.js";
import { StatusCommand } from "./status_command.js";
import { TimelineCommand } from "./timeline_command.js";

const cli = new Cli({ binaryName: "foxtailrail", binaryLabel: "foxtailrail operators' command line" });
for (const command of [StatusCommand, ConfigShowCommand, ConfigDiffCommand, ConfigApplyCommand, SendCommand, TimelineCommand]) {
    cli.register(command);
}
for (
    const command of [
        RolloutStartCommand,
        RolloutWatchCommand,
        RolloutPauseCommand,
        RolloutResumeCommand,
        RolloutRollbackCommand,
        RolloutListCommand,
        RolloutShowCommand,
    ]
) {
    cli.register(command);
}
cli.register(Builtins.HelpCommand);
process.exit(await cli.run(process.argv.slice(2), Cli.defaultContext));
