/**
 * Acquires, renews, checks and releases the lease of one group of backend servers.
 *
 * See Gray and Cheriton, "Leases: An Efficient Fault-Tolerant Mechanism for Distributed File Cache Consistency" (1989).
 *
 * @module
 */

import { decodeLeaseRecord, encodeLeaseRecord, LEASE_STREAM, LeaseRecordKind, type LogService } from "../../protocol/mod.js";
import type { Clock } from "../../state/mod.js";
import { type Lease, LeaseRegistry } from "./lease_registry.js";

/** Duration of a lease, in milliseconds. */
export const LEASE_DURATION_MS = 15_000;

/** Maximum clock skew between two VMs, in milliseconds. */
export const MAX_CLOCK_SKEW_MS = 500;

/** Maximum time from the lease check to the end of an order, in milliseconds. */
export const MAX_ORDER_MS = 5_000;

/** Interval between lease renewals, in milliseconds. */
const RENEW_INTERVAL_MS = 5_000;

/** Delay before retrying a failed log operation, in milliseconds. */
const RETRY_DELAY_MS = 500;

/** Settings of a {@linkcode LeaseHolder}. */
export interface LeaseHolderSettings {
    readonly node: string;
    readonly group: string;
    readonly clock: Clock;
    readonly log: LogService;
}

/** Holds the lease of one group on behalf of one node. */
export class LeaseHolder {
    private readonly registry = new LeaseRegistry();
    private nextOffset = 0;
    private recordCount = 0;

    /** @param settings See {@linkcode LeaseHolderSettings}. */
    constructor(private readonly settings: LeaseHolderSettings) {}

    /**
     * Acquires the lease, then waits until no order of the previous holder can still take effect.
     *
     * @param signal Stops the attempt when aborted.
     * @returns Fencing number, or `undefined` if the signal was aborted before the lease was acquired.
     */
    async acquire(signal: AbortSignal): Promise<number | undefined> {
        const { clock, node } = this.settings;
        while (!signal.aborted) {
            try {
                await this.readLog();
                if (await this.tryAcquire()) {
                    break;
                }
            }
            catch {
                // The record may have been appended anyway; the next read shows whether it was.
            }
            await clock.sleep(RETRY_DELAY_MS, signal);
        }
        const lease = this.lease;
        if (signal.aborted || lease?.holder !== node) {
            return undefined;
        }
        const safeAtMs = lease.previousExpiresAtMs + MAX_CLOCK_SKEW_MS + MAX_ORDER_MS;
        while (clock.now() < safeAtMs && !signal.aborted) {
            await clock.sleep(Math.min(RENEW_INTERVAL_MS, safeAtMs - clock.now()), signal);
            await this.renew();
        }
        return lease.fencingNumber;
    }

    /** Renews the lease until the signal is aborted or the node no longer holds it. */
    async maintain(signal: AbortSignal): Promise<void> {
        while (!signal.aborted && this.isHolder) {
            await this.settings.clock.sleep(RENEW_INTERVAL_MS, signal);
            if (!signal.aborted) {
                await this.renew();
            }
        }
    }

    /**
     * Returns whether this node holds an unexpired lease; must be called right before each order.
     *
     * The clock is read on every call, so a process that was paused notices that its lease has expired.
     */
    isValid(): boolean {
        const { lease } = this;
        return lease !== undefined && this.isHolder && this.settings.clock.now() < lease.expiresAtMs;
    }

    /** Releases the lease, so that the next holder does not have to wait. All orders must have completed. */
    async release(): Promise<void> {
        if (this.isHolder) {
            await this.append(LeaseRecordKind.Released);
        }
    }

    private get lease(): Lease | undefined {
        return this.registry.get(this.settings.group);
    }

    private get isHolder(): boolean {
        return this.lease?.holder === this.settings.node && !this.lease.released;
    }

    /** Extends the lease. If that fails, the lease keeps its expiry time. */
    private async renew(): Promise<void> {
        try {
            await this.append(LeaseRecordKind.Renewed);
        }
        catch {
            await this.settings.clock.sleep(RETRY_DELAY_MS);
        }
    }

    private async tryAcquire(): Promise<boolean> {
        const { clock, node } = this.settings;
        const { lease } = this;
        const isFree = lease === undefined || lease.released || clock.now() > lease.expiresAtMs + MAX_CLOCK_SKEW_MS;
        if (!isFree) {
            return false;
        }
        await this.append(LeaseRecordKind.Acquired);
        return this.lease?.holder === node && !this.lease.released;
    }

    private async append(kind: LeaseRecordKind): Promise<void> {
        const { node, group, clock, log } = this.settings;
        this.recordCount += 1;
        const id = `${node}-${group}-${Math.floor(clock.now())}-${this.recordCount}`;
        const madeAgainst = this.lease?.revision ?? -1;
        const expiresAtMs = clock.now() + LEASE_DURATION_MS;
        await log.append(LEASE_STREAM, encodeLeaseRecord({ kind, id, group, holder: node, madeAgainst, expiresAtMs }));
        await this.readLog();
    }

    private async readLog(): Promise<void> {
        for (;;) {
            const page = await this.settings.log.read(LEASE_STREAM, this.nextOffset);
            for (const { offset, data } of page.records) {
                this.nextOffset = offset + 1;
                const record = decodeLeaseRecord(data);
                if (record !== undefined) {
                    this.registry.apply(offset, record);
                }
            }
            if (page.records.length === 0 || this.nextOffset >= page.endOffset) {
                return;
            }
        }
    }
}
