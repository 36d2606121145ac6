/**
 * Clock that is advanced explicitly, for in-process tests and simulations.
 *
 * @module
 */

import type { Clock } from "../src/state/mod.js";

/** Initial time of virtual clocks, in milliseconds since the Unix epoch. */
const START_MS = 1_800_000_000_000;

/** Pending sleep. */
interface Timer {
    readonly atMs: number;
    /** Sequence number, which orders timers with the same time. */
    readonly order: number;
    readonly fire: () => void;
    cancelled: boolean;
}

/** Clock whose sleeps resolve in order of their end times as the clock is advanced. */
export class VirtualClock implements Clock {
    private nowMs = START_MS;
    private order = 0;
    private readonly heap: Timer[] = [];

    now(): number {
        return this.nowMs;
    }

    sleep(durationMs: number, signal?: AbortSignal): Promise<boolean> {
        if (signal?.aborted) {
            return Promise.resolve(false);
        }
        return new Promise(resolve => {
            const onAbort = () => {
                timer.cancelled = true;
                resolve(false);
            };
            const timer: Timer = {
                atMs: this.nowMs + Math.max(0, durationMs),
                order: this.order++,
                cancelled: false,
                fire: () => {
                    signal?.removeEventListener("abort", onAbort);
                    resolve(true);
                },
            };
            signal?.addEventListener("abort", onAbort, { once: true });
            this.push(timer);
        });
    }

    /**
     * Advances the clock and fires all timers that become due.
     *
     * @param durationMs Time to advance by, in milliseconds.
     */
    async advance(durationMs: number): Promise<void> {
        const untilMs = this.nowMs + durationMs;
        await flushMicrotasks();
        while (this.heap.length > 0 && this.heap[0].atMs <= untilMs) {
            await this.fireNext();
        }
        this.nowMs = untilMs;
    }

    /**
     * Advances the clock until a promise settles.
     *
     * @param promise Promise to wait for.
     * @param limitMs Maximum time to advance by, in milliseconds. Defaults to 10 minutes.
     * @throws {RangeError} When the promise has not settled by then, or no timer is pending.
     */
    async runUntil<Value>(promise: Promise<Value>, limitMs = 600_000): Promise<Value> {
        let settled = false;
        const done = () => {
            settled = true;
        };
        promise.then(done, done);
        const deadlineMs = this.nowMs + limitMs;
        await flushMicrotasks();
        while (!settled) {
            if (this.heap.length === 0 || this.heap[0].atMs > deadlineMs) {
                throw new RangeError(`Cannot wait for promise: it has not settled after ${limitMs} ms`);
            }
            await this.fireNext();
        }
        return promise;
    }

    private async fireNext(): Promise<void> {
        const timer = this.pop();
        if (timer.cancelled) {
            return;
        }
        this.nowMs = Math.max(this.nowMs, timer.atMs);
        timer.fire();
        await flushMicrotasks();
    }

    private push(timer: Timer): void {
        const { heap } = this;
        let index = heap.push(timer) - 1;
        while (index > 0) {
            const parent = (index - 1) >> 1;
            if (!isEarlier(heap[index], heap[parent])) {
                return;
            }
            [heap[index], heap[parent]] = [heap[parent], heap[index]];
            index = parent;
        }
    }

    private pop(): Timer {
        const { heap } = this;
        const top = heap[0];
        const last = heap.pop() as Timer;
        if (heap.length > 0) {
            heap[0] = last;
            this.siftDown();
        }
        return top;
    }

    private siftDown(): void {
        const { heap } = this;
        let index = 0;
        for (;;) {
            let least = index;
            for (const child of [2 * index + 1, 2 * index + 2]) {
                if (child < heap.length && isEarlier(heap[child], heap[least])) {
                    least = child;
                }
            }
            if (least === index) {
                return;
            }
            [heap[index], heap[least]] = [heap[least], heap[index]];
            index = least;
        }
    }
}

function isEarlier(left: Timer, right: Timer): boolean {
    return left.atMs < right.atMs || left.atMs === right.atMs && left.order < right.order;
}

/** Waits until all queued promise callbacks have run. */
function flushMicrotasks(): Promise<void> {
    return new Promise(resolve => {
        setImmediate(resolve);
    });
}
