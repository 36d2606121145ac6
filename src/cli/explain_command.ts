/**
 * Command `foxtailrail explain`.
 *
 * @module
 */

import { Command, Option } from "clipanion";
import { createReadStream } from "node:fs";
import { createInterface } from "node:readline";
import { MAX_LOGGED_ID_LENGTH } from "../protocol/relay/mod.js";
import { ExitCode } from "./operator_command.js";

/** Time before a call's first line from which lines about the nodes themselves are shown, in milliseconds; older changes of node state took effect before the call. */
const CONTEXT_WINDOW_MS = 3_000;

/** Maximum number of lines kept for each file; beyond it the oldest line is dropped, unless it belongs to the call. */
const MAX_CONTEXT_LINES = 20_000;

/** Start of the JSON object in a line; a log collector may have added a prefix. */
const LOG_OBJECT_PREFIX = '{"level"';

/** Parsed line of a node's log. */
interface LogLine {
    readonly time: number;
    readonly node: string;
    readonly msg: string;
    /** Request id of the call; missing in lines about the node itself. */
    readonly id?: string;
    readonly [field: string]: unknown;
}

/** Prints the log lines of one call from all nodes in time order, with the lines about those nodes from around it. */
export class ExplainCommand extends Command {
    static override paths = [["explain"]];
    static override usage = Command.Usage({
        category: "Requests",
        description: "Prints the log lines of one call from all nodes, in time order.",
        details:
            "Lines about backend servers, the platform's log, peers and the configuration are included from 3 s before the call until its end.",
        examples: [["Explain a failed call", "foxtailrail explain 9c41d07be2a35f68 --log entry-1.log --log entry-2.log"]],
    });
    id = Option.String({ required: true, name: "REQUEST-ID" });
    logs = Option.Array("--log", [], { description: "Log file of one or more nodes. Repeat the option for each file." });

    override async execute(): Promise<number> {
        if (this.logs.length === 0) {
            return this.failUsage("Option --log is missing; give at least one log file.");
        }
        const lines: LogLine[] = [];
        for (const file of this.logs) {
            try {
                lines.push(...await readLogLines(file, this.id));
            }
            catch (error) {
                return this.failUsage(`Cannot read ${file}: ${(error as Error).message}; give a log file of a node.`);
            }
        }
        const relatedLines = selectRelatedLines(lines, this.id);
        if (relatedLines.length === 0) {
            this.context.stderr.write(
                `No log line of call ${this.id} was found. It may have been sampled out: see docs/OPERATIONS.md.\n`,
            );
            return ExitCode.Refused;
        }
        for (const line of relatedLines) {
            this.context.stdout.write(`${formatLogLine(line)}\n`);
        }
        return ExitCode.Success;
    }

    private failUsage(text: string): ExitCode {
        this.context.stderr.write(`${text}\n`);
        return ExitCode.Usage;
    }
}

/** Returns a line about several calls as the line of one of them; any other line as it is. */
function selectCall(line: LogLine, id: string): LogLine {
    const { calls, ...rest } = line;
    if (!Array.isArray(calls)) {
        return line;
    }
    const call = (calls as readonly { readonly id?: string }[]).find(entry => entry.id === id.slice(0, MAX_LOGGED_ID_LENGTH));
    // Without the call, the line is of others.
    return call === undefined ? { ...rest, id: "" } : { ...rest, ...call, id };
}

/** Reads the lines of a call and the lines about the node itself. */
async function readLogLines(file: string, id: string): Promise<readonly LogLine[]> {
    const lines: LogLine[] = [];
    for await (const text of createInterface({ input: createReadStream(file) })) {
        const parsed = parseLogLine(text);
        const line = parsed === undefined ? undefined : selectCall(parsed, id);
        if (line !== undefined && (line.id === undefined || line.id === id)) {
            lines.push(line);
            if (lines.length > MAX_CONTEXT_LINES && lines[0]?.id === undefined) {
                lines.shift();
            }
        }
    }
    return lines;
}

function parseLogLine(text: string): LogLine | undefined {
    const start = text.indexOf(LOG_OBJECT_PREFIX);
    if (start < 0) {
        return undefined;
    }
    try {
        return JSON.parse(text.slice(start)) as LogLine;
    }
    catch {
        return undefined; // The line was truncated when the process was killed.
    }
}

/** Selects the lines of the call, and the lines about its nodes from {@linkcode CONTEXT_WINDOW_MS} before it until its end, in time order. */
function selectRelatedLines(lines: readonly LogLine[], id: string): readonly LogLine[] {
    const callLines = lines.filter(line => line.id === id);
    const nodes = new Set(callLines.map(line => line.node));
    const fromMs = Math.min(...callLines.map(line => line.time)) - CONTEXT_WINDOW_MS;
    const untilMs = Math.max(...callLines.map(line => line.time));
    return lines
        .filter(line => line.id === id || nodes.has(line.node) && line.time >= fromMs && line.time <= untilMs)
        .sort((left, right) => left.time - right.time);
}

function formatLogLine({ time, node, msg, level, id, ...fields }: LogLine): string {
    const details = Object.entries(fields).map(([name, value]) => `${name}=${JSON.stringify(value)}`).join(" ");
    const mark = id === undefined ? " " : "*";
    return `${mark} ${new Date(time).toISOString()} ${node} ${msg} ${details}${Number(level) >= 40 ? " (warning)" : ""}`;
}
