#!/usr/bin/env node
/**
 * Program `foxtailrail`.
 *
 * @module
 */

import { Builtins, Cli } from "clipanion";
import { ConfigApplyCommand, ConfigDiffCommand, ConfigShowCommand } from "./config_commands.js";
import { RequestListCommand } from "./request_list_command.js";
import { SendCommand } from "./send_command.js";
import { StatusCommand } from "./status_command.js";
import { TimelineCommand } from "./timeline_command.js";

const cli = new Cli({ binaryName: "foxtailrail", binaryLabel: "foxtailrail operators' command line" });
const commands = [
    StatusCommand,
    ConfigShowCommand,
    ConfigDiffCommand,
    ConfigApplyCommand,
    SendCommand,
    TimelineCommand,
    RequestListCommand,
];
for (const command of commands) {
    cli.register(command);
}
cli.register(Builtins.HelpCommand);
process.exit(await cli.run(process.argv.slice(2), Cli.defaultContext));
