#!/usr/bin/env node
/**
 * Entry point of the command line `foxtailrail`.
 *
 * @module
 */

import { Builtins, Cli, type Command } from "clipanion";
import { ConfigApplyCommand, ConfigDiffCommand, ConfigExplainCommand, ConfigShowCommand } from "./config_commands.js";
import { ExceptionAddCommand, ExceptionListCommand, ExceptionRemoveCommand } from "./exception_commands.js";
import { ExplainCommand } from "./explain_command.js";
import {
    TierListCommand,
    TierSetCommand,
    WorkspaceAddCommand,
    WorkspaceListCommand,
    WorkspaceRemoveCommand,
} from "./item_commands.js";
import { ExitCode } from "./operator_command.js";
import { RequestListCommand } from "./request_list_command.js";
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

/** Commands, in the order of the help. */
const commands = [
    StatusCommand,
    TimelineCommand,
    ConfigShowCommand,
    ConfigDiffCommand,
    ConfigApplyCommand,
    ConfigExplainCommand,
    ExceptionAddCommand,
    ExceptionListCommand,
    ExceptionRemoveCommand,
    WorkspaceListCommand,
    WorkspaceAddCommand,
    WorkspaceRemoveCommand,
    TierListCommand,
    TierSetCommand,
    RolloutStartCommand,
    RolloutWatchCommand,
    RolloutPauseCommand,
    RolloutResumeCommand,
    RolloutRollbackCommand,
    RolloutListCommand,
    RolloutShowCommand,
    SendCommand,
    RequestListCommand,
    ExplainCommand,
];

const cli = new Cli({ binaryName: "foxtailrail", binaryLabel: "foxtailrail operators' command line" });
for (const command of commands) {
    cli.register(command);
}
cli.register(Builtins.HelpCommand);

/** Runs the command selected by the arguments and returns its exit code. */
async function run(args: string[]): Promise<number> {
    let command: Command;
    try {
        command = cli.process(args, Cli.defaultContext);
    }
    catch (error) {
        process.stderr.write(cli.error(error));
        return ExitCode.Usage;
    }
    return cli.run(command, Cli.defaultContext);
}

process.exitCode = await run(process.argv.slice(2));
