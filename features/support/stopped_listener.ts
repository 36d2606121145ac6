/**
 * Process that listens on loopback and is stopped, so that attempts to connect to it hang.
 *
 * @module
 */

import { type ChildProcess, spawn } from "node:child_process";
import { connect, type Socket } from "node:net";

/** Program that listens with the shortest queue and prints its port. */
const PROGRAM =
    'require("net").createServer().listen({port:0,host:"127.0.0.1",backlog:1},function(){console.log(this.address().port)})';

/** Connections that fill the queue of the stopped process. */
const QUEUED_CONNECTIONS = 8;

/** Time for the connections to fill the queue, in milliseconds. */
const FILL_MS = 200;

/** Listens without accepting. */
export class StoppedListener {
    private constructor(
        private readonly process: ChildProcess,
        private readonly queued: readonly Socket[],
        /** Host and port. */
        readonly address: string,
    ) {}

    /** Starts the process, stops it and fills its queue. */
    static async start(): Promise<StoppedListener> {
        const process = spawn(globalThis.process.execPath, ["-e", PROGRAM], { stdio: ["ignore", "pipe", "ignore"] });
        const port = await new Promise<number>(resolve => process.stdout.once("data", text => resolve(Number(text))));
        process.kill("SIGSTOP");
        const queued = Array.from({ length: QUEUED_CONNECTIONS }, () => {
            return connect({ host: "127.0.0.1", port }).on("error", () => undefined);
        });
        await new Promise(resolve => setTimeout(resolve, FILL_MS));
        return new StoppedListener(process, queued, `127.0.0.1:${port}`);
    }

    /** Ends the process. */
    close(): void {
        for (const socket of this.queued) {
            socket.destroy();
        }
        this.process.kill("SIGKILL");
    }
}
