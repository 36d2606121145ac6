/**
 * Forecast of the time until a waiting call gets a slot.
 *
 * Load: after all nodes were killed, or when a burst exceeds the slots several times, most calls wait to the end of their wait limit and
 * are refused then. The place of a call in the queue and the rate at which slots come free say so at once.
 *
 * @module
 */

/** Weight of the newest allotment in the rates; the slots that come free in one interval differ by whole calls. */
const RATE_WEIGHT = 0.25;

/** Milliseconds in a second. */
const MS_PER_SECOND = 1_000;

/** Slots that come free for one class of calls, and the demand of the other nodes for them, within the window. */
export interface ClassSupply {
    readonly slots: number;
    readonly peerCalls: number;
}

/** Basis of an allotment of the admission gate. */
export interface SlotSupply {
    readonly windowMs: number;
    /** Calls in time and within the share of their workspace, which are allotted first. */
    readonly inTime: ClassSupply;
    /** Other calls in time. */
    readonly aboveShare: ClassSupply;
    /** Late calls, which are allotted what the others leave. */
    readonly late: ClassSupply;
}

/** Class of calls by which slots are allotted. */
export type SlotClass = Exclude<keyof SlotSupply, "windowMs">;

/** Smoothed supply of one class. */
interface SmoothedSupply {
    slotsPerSecond: number;
    peerCalls: number;
}

/** Forecasts from the last allotments. */
export class SlotForecast {
    private readonly supplies: Readonly<Record<SlotClass, SmoothedSupply>> = {
        inTime: { slotsPerSecond: Infinity, peerCalls: 0 },
        aboveShare: { slotsPerSecond: Infinity, peerCalls: 0 },
        late: { slotsPerSecond: Infinity, peerCalls: 0 },
    };

    /** Records the basis of an allotment. */
    record(supply: SlotSupply): void {
        for (const slotClass of ["inTime", "aboveShare", "late"] as const) {
            const { slots, peerCalls } = supply[slotClass];
            const smoothed = this.supplies[slotClass];
            const perSecond = Math.max(0, slots) / supply.windowMs * MS_PER_SECOND;
            smoothed.peerCalls = peerCalls;
            smoothed.slotsPerSecond = smoothed.slotsPerSecond === Infinity ?
                perSecond :
                smoothed.slotsPerSecond + (perSecond - smoothed.slotsPerSecond) * RATE_WEIGHT;
        }
    }

    /**
     * Returns the time until a call gets a slot, in milliseconds, if the nodes get slots in proportion to their demand.
     *
     * @param slotClass Class of the call.
     * @param place Place among this node's calls of this class, from 0.
     * @param ownCalls This node's calls of this class.
     */
    waitMs(slotClass: SlotClass, place: number, ownCalls: number): number {
        const { slotsPerSecond, peerCalls } = this.supplies[slotClass];
        const own = Math.max(1, ownCalls);
        return (place + 1) * (own + peerCalls) / own / slotsPerSecond * MS_PER_SECOND;
    }
}
