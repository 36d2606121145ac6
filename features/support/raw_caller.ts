/**
 * Caller that writes requests byte by byte on one connection, so that tests choose when a request ends and what follows it.
 *
 * @module
 */

import { connect, type Socket } from "node:net";

/** Least status of a final answer. */
const FIRST_FINAL_STATUS = 200;

/** Answer read from the connection. */
export interface RawAnswer {
    readonly status: number;
    readonly headers: ReadonlyMap<string, string>;
    readonly body: string;
    readonly isComplete: boolean;
}

/** Formats a call with a body and a key that the fixture's configuration admits. */
export function formatCall(id: string, path: string, body = "body", headers: readonly string[] = []): string {
    const lines = [
        `POST ${path} HTTP/1.1`,
        "Host: app.example",
        `Request-Id: ${id}`,
        "Api-Key: key-1",
        "Deadline-Ms: 5000",
        `Content-Length: ${body.length}`,
        ...headers,
    ];
    return `${lines.join("\r\n")}\r\n\r\n${body}`;
}

/** Writes text to one connection and reads the answers. */
export class RawCaller {
    private received = "";
    private isClosed = false;
    private wake: () => void = () => undefined;

    private constructor(private readonly socket: Socket) {
        socket.setEncoding("latin1");
        socket.on("data", text => {
            this.received += String(text);
            this.wake();
        });
        socket.on("error", () => undefined);
        socket.on("close", () => {
            this.isClosed = true;
            this.wake();
        });
    }

    /** Opens a connection to an address. */
    static async connect(address: string): Promise<RawCaller> {
        const [host, port] = address.split(":");
        const socket = connect({ host, port: Number(port), noDelay: true });
        await new Promise<void>((resolve, reject) => {
            socket.once("connect", resolve);
            socket.once("error", reject);
        });
        return new RawCaller(socket);
    }

    /** Writes text. */
    write(text: string | Buffer): void {
        this.socket.write(text);
    }

    /** Stops reading until {@linkcode resume}. */
    pause(): void {
        this.socket.pause();
    }

    /** Reads again. */
    resume(): void {
        this.socket.resume();
    }

    /** Closes the connection. */
    close(): void {
        this.socket.destroy();
    }

    /**
     * Waits until a number of answers are complete, or the connection is closed. An interim head is an answer of its own.
     *
     * @param headIndex Index of the answer to a call with the method HEAD, which has no body.
     * @returns The answers; the last may be incomplete.
     */
    async readAnswers(count: number, headIndex = -1): Promise<readonly RawAnswer[]> {
        for (;;) {
            const answers = parseAnswers(this.received, this.isClosed, headIndex);
            if (this.isClosed || answers.filter(answer => answer.isComplete).length >= count) {
                return answers;
            }
            await new Promise<void>(resolve => {
                this.wake = resolve;
            });
        }
    }

    /** Waits until a part of an answer is read, or the connection is closed. */
    async awaitBytes(): Promise<void> {
        while (this.received === "" && !this.isClosed) {
            await new Promise<void>(resolve => {
                this.wake = resolve;
            });
        }
    }

    /** Waits until the connection is closed. */
    async awaitClose(): Promise<void> {
        while (!this.isClosed) {
            await new Promise<void>(resolve => {
                this.wake = resolve;
            });
        }
    }
}

function parseAnswers(text: string, isClosed: boolean, headIndex: number): readonly RawAnswer[] {
    const answers: RawAnswer[] = [];
    let rest = text;
    while (rest !== "") {
        const headEnd = rest.indexOf("\r\n\r\n");
        if (headEnd < 0) {
            break;
        }
        const [startLine = "", ...lines] = rest.slice(0, headEnd).split("\r\n");
        const headers = new Map(lines.map(line => {
            const colon = line.indexOf(":");
            return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
        }));
        const status = Number(startLine.split(" ")[1]);
        rest = rest.slice(headEnd + 4);
        const hasBody = status >= FIRST_FINAL_STATUS && answers.length !== headIndex;
        const parsed = hasBody ? parseBody(rest, headers, isClosed) : { body: "", isComplete: true, rest };
        answers.push({ status, headers, body: parsed.body, isComplete: parsed.isComplete });
        if (!parsed.isComplete) {
            break;
        }
        rest = parsed.rest;
    }
    return answers;
}

/** Parsed body of one answer. */
interface ParsedBody {
    readonly body: string;
    readonly isComplete: boolean;
    readonly rest: string;
}

function parseBody(text: string, headers: ReadonlyMap<string, string>, isClosed: boolean): ParsedBody {
    const length = headers.get("content-length");
    if (length !== undefined) {
        const body = text.slice(0, Number(length));
        return { body, isComplete: body.length === Number(length), rest: text.slice(Number(length)) };
    }
    if (headers.get("transfer-encoding") !== "chunked") {
        return { body: text, isComplete: isClosed, rest: "" };
    }
    let body = "";
    let rest = text;
    for (;;) {
        const lineEnd = rest.indexOf("\r\n");
        const size = Number.parseInt(rest.slice(0, Math.max(0, lineEnd)), 16);
        if (lineEnd < 0 || Number.isNaN(size) || rest.length < lineEnd + size + 4) {
            return { body, isComplete: false, rest: "" };
        }
        body += rest.slice(lineEnd + 2, lineEnd + 2 + size);
        rest = rest.slice(lineEnd + size + 4);
        if (size === 0) {
            return { body, isComplete: true, rest };
        }
    }
}
