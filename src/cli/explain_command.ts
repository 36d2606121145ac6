/**
 * Command `foxtailrail explain`.
 *
 * @module
 */

import { Command, Option, UsageError } from "clipanion";
import { createReadStream } from "node:fs";
import { createInterface } from "node:readline";
import { ExitCode } from "./operator_command.js";

/** Time before a call's first line from which the node's own lines are shown, in milliseconds; beliefs older than this had effect long before. */
const CONTEXT_WINDOW_MS = 3_000;

/** Lines that are kept for the context of a call. */
const MAX_CONTEXT_LINES = 20_000;

/** Start of the JSON object in a line, behind whatever a collector put before it. */
const LOG_OBJECT_PREFIX = '{"level"';

/** Line of a node's log. */
interface LogLine {
    readonly time: number;
    readonly node: string;
    readonly msg: string;
    /** Call that the line is about; missing in lines about the node itself. */
    readonly id?: string;
    readonly [field: string]: unknown;
}

/** Prints what the nodes' logs say about one call, in order, with what the nodes came to believe meanwhile. */
export class ExplainCommand extends Command {
    static override paths = [["explain"]];
    static override usage = Command.Usage({
        category: "Requests",
        description: "Prints what the logs of all nodes say about one call, in order.",
        details:
            "Lines about backend servers, the platform's log, peers and the configuration are shown from 3 s before the call on.",
        examples: [["Explain a failed call", "foxtailrail explain 9c41d07be2a35f68 --log entry-1.log --log entry-2.log"]],
    });
    id = Option.String({ required: true, name: "REQUEST-ID" });
    logs = Option.Array("--log", [], { description: "Log file of one or more nodes. Give it once for each file." });

    override async execute(): Promise<number> {
        if (this.logs.length === 0) {
            throw new UsageError("No log is named: give --log FILE.");
        }
        const lines: LogLine[] = [];
        for (const file of this.logs) {
            lines.push(...await readLogLines(file, this.id));
        }
        const story = selectRelatedLines(lines, this.id);
        if (story.length === 0) {
            this.context.stderr.write(
                `No line tells of call ${this.id}. It may have been sampled out: see docs/OPERATIONS.md.\n`,
            );
            return ExitCode.Refused;
        }
        for (const line of story) {
            this.context.stdout.write(`${formatLogLine(line)}\n`);
        }
        return ExitCode.Success;
    }
}

/** Reads the lines about a call and those about the node itself. */
async function readLogLines(file: string, id: string): Promise<readonly LogLine[]> {
    const lines: LogLine[] = [];
    for await (const text of createInterface({ input: createReadStream(file) })) {
        const line = parseLogLine(text);
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
        return undefined; // A line that was cut by a kill tells nothing.
    }
}

/** @returns The lines of the call, and those of its nodes that were written around it. */
function selectRelatedLines(lines: readonly LogLine[], id: string): readonly LogLine[] {
    const own = lines.filter(line => line.id === id);
    const nodes = new Set(own.map(line => line.node));
    const fromMs = Math.min(...own.map(line => line.time)) - CONTEXT_WINDOW_MS;
    const untilMs = Math.max(...own.map(line => line.time));
    return lines
        .filter(line => line.id === id || nodes.has(line.node) && line.time >= fromMs && line.time <= untilMs)
        .sort((left, right) => left.time - right.time);
}

function formatLogLine({ time, node, msg, level, id, ...fields }: LogLine): string {
    const details = Object.entries(fields).map(([name, value]) => `${name}=${JSON.stringify(value)}`).join(" ");
    const mark = id === undefined ? " " : "*";
    return `${mark} ${new Date(time).toISOString()} ${node} ${msg} ${details}${Number(level) >= 40 ? " (warning)" : ""}`;
}
