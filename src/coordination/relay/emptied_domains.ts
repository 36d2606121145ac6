/**
 * Failure domains to whose servers nothing more may be sent, by order of the operator.
 *
 * Load: a failure domain is emptied before its machines are repaired or switched off, under full traffic, and taken back later. The state
 * is that of the newest record of each domain in the platform's log, so that all nodes and restarted ones agree without messages.
 *
 * @module
 */

import type { LogPosition } from "../../protocol/relay/mod.js";
import type { Clock, DomainOrder } from "../../state/relay/mod.js";
import type { LogHealth } from "./log_health.js";
import { isLater } from "./order_history.js";

/** Newest order of a failure domain. */
interface KnownOrder extends DomainOrder {
    readonly position: LogPosition;
    /** Time at which an order that a restored log lacks ends, in milliseconds since the Unix epoch; `undefined` for any other. */
    endsAtMs: number | undefined;
}

/** Settings of {@linkcode EmptiedDomains}. */
export interface EmptiedDomainsSettings {
    readonly clock: Clock;
    /** Tells whether the log answers, and how long missing records are waited for after a restore. */
    readonly health: LogHealth;
    /** Called with a log message for each order, and for each change that follows from a restore of the log. */
    readonly onChange: (text: string, detail: Readonly<Record<string, unknown>>) => void;
}

/**
 * Keeps the newest order of each failure domain, whether it has servers or not. After a restore of the log from an older copy, an order that
 * the copy lacks stays in force until the operator has had time to write it again; one that the copy contains is in force at once.
 */
export class EmptiedDomains {
    /** Orders by the key of their record. */
    private readonly orders = new Map<string, KnownOrder>();
    private readonly emptied = new Set<string>();
    private loaded = false;

    /** @param settings See {@linkcode EmptiedDomainsSettings}. */
    constructor(private readonly settings: EmptiedDomainsSettings) {}

    /** Whether the log's orders have been read since the start. */
    get isLoaded(): boolean {
        return this.loaded;
    }

    /** Number of emptied failure domains. */
    get size(): number {
        return this.emptied.size;
    }

    /** Whether nothing more may be sent to the servers of a failure domain. */
    has(failureDomain: string): boolean {
        return this.emptied.has(failureDomain);
    }

    /**
     * Applies an order unless this or a later one of its domain is known.
     *
     * @param key Key of the order's record.
     * @param position Place of the record in the log.
     */
    apply(order: DomainOrder, key: string, position: LogPosition): void {
        const known = this.orders.get(key);
        if (known !== undefined && !isLater(position, known.position)) {
            return;
        }
        this.orders.set(key, { ...order, position, endsAtMs: undefined });
        const { failureDomain, isEmptied } = order;
        if (isEmptied) {
            this.emptied.add(failureDomain);
        }
        else {
            this.emptied.delete(failureDomain);
        }
        const isRepeated = (known?.isEmptied ?? false) === isEmptied;
        this.settings.onChange(isEmptied ? "domain: emptied" : "domain: in use again", {
            failureDomain,
            ...position,
            isRepeated: isRepeated || undefined,
        });
    }

    /**
     * Ends the orders that a snapshot of the operator's records does not contain.
     *
     * @param listedKeys Keys of all records in the snapshot.
     * @param position End of the snapshot.
     */
    endUnlisted(listedKeys: ReadonlySet<string>, position: LogPosition): void {
        this.loaded = true;
        for (const [key, known] of this.orders) {
            if (listedKeys.has(key)) {
                continue;
            }
            const { failureDomain } = known;
            if (known.isEmptied && known.position.era < position.era) {
                known.endsAtMs = this.settings.health.reregistrationDeadlineMs;
                this.settings.onChange("domain: order missing after a restore, kept for now", { failureDomain, ...position });
                continue;
            }
            this.end(key, known, { ...position, reason: "its record was removed" });
        }
    }

    /** Ends orders that were not written again in time after a restore of the log. Called several times per second. */
    expire(): void {
        const { clock, health } = this.settings;
        for (const [key, known] of this.orders) {
            if (known.endsAtMs !== undefined && clock.now() >= known.endsAtMs && health.isAnswering) {
                this.end(key, known, { reason: "its record was not written again after a restore" });
            }
        }
    }

    private end(key: string, { failureDomain, isEmptied }: KnownOrder, detail: Readonly<Record<string, unknown>>): void {
        this.orders.delete(key);
        if (isEmptied) {
            this.emptied.delete(failureDomain);
            this.settings.onChange("domain: in use again", { failureDomain, ...detail });
        }
    }
}
