/**
 * Rollout orders that were read from the platform's log.
 *
 * @module
 */

import type { LogPosition } from "../../protocol/relay/mod.js";
import type { VersionOrder } from "../../state/relay/mod.js";

/** Number of superseded orders of a service that are remembered. */
const MAX_SUPERSEDED_ORDERS = 8;

/** Meaning of an order's record. */
export enum OrderChange {
    /** The order, or a later one, is known already. */
    None = "none",
    /** The latest order was written again in a new era of the log. */
    Moved = "moved",
    /** The order replaces the latest one of its service. */
    New = "new",
}

/** Orders of one service. */
interface ServiceOrders {
    readonly latest: VersionOrder;
    readonly position: LogPosition;
    /** Orders that later ones replaced, oldest first. */
    readonly superseded: readonly VersionOrder[];
}

/** Tells new orders from those that a log which was restored from an older copy contains again. */
export class OrderHistory {
    private readonly services = new Map<string, ServiceOrders>();

    /** Records an order that was read at a position of the log, and returns what it means. */
    record(order: VersionOrder, position: LogPosition): OrderChange {
        const known = this.services.get(order.service);
        if (known === undefined) {
            this.services.set(order.service, { latest: order, position, superseded: [] });
            return OrderChange.New;
        }
        if (!isLater(position, known.position)) {
            return OrderChange.None;
        }
        if (position.era > known.position.era) {
            if (isSameOrder(order, known.latest)) {
                this.services.set(order.service, { ...known, position });
                return OrderChange.Moved;
            }
            if (known.superseded.some(superseded => isSameOrder(superseded, order))) {
                return OrderChange.None;
            }
        }
        const superseded = [...known.superseded, known.latest].slice(-MAX_SUPERSEDED_ORDERS);
        this.services.set(order.service, { latest: order, position, superseded });
        return OrderChange.New;
    }
}

/** @returns Whether a position of the log is later than another one; offsets are compared within an era only. */
export function isLater(position: LogPosition, known: LogPosition): boolean {
    return position.era === known.era ? position.offset > known.offset : position.era > known.era;
}

function isSameOrder(left: VersionOrder, right: VersionOrder): boolean {
    return left.service === right.service && left.version === right.version && left.durationMs === right.durationMs;
}
