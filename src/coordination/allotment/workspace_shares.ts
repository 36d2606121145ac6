/**
 * Shares of the workspaces in a service's slots at one node.
 *
 * Load: a few workspaces send several times their usual load while servers are down. A workspace above its share takes only the slots that
 * the others leave, at all nodes together. While no workspace is above its share, every call is within it.
 *
 * @module
 */

import type { Clock } from "../../state/relay/mod.js";
import { STALENESS_REPORT_INTERVALS } from "./demand.js";
import { WorkspaceAccounts } from "./workspace_accounts.js";
import { divideSlots, type SpentShare } from "./workspace_division.js";
import { addLoad, largestLoads, NO_LOAD, type ServiceLoads, type WorkspaceLoad } from "./workspace_load.js";

/** Workspaces of a service that a node reports; about 9 bytes each. */
export const MAX_REPORTED_WORKSPACES = 12;

/** Time after the last wait of a call for which slots count as short, in milliseconds; several report intervals. */
const SHORT_MS = 1_000;

/** Time for which a workspace has to be within its share before the next time above it is a new one, in milliseconds. */
const QUIET_MS = 2_000;

/** Time above its share from which a workspace is logged, in milliseconds; loads vary by chance for shorter times. */
const MIN_LOGGED_MS = 1_000;

/** Workspaces of a service that are logged as above their share at a time; bounds the lines when there are hundreds. */
const MAX_LOGGED_WORKSPACES = 12;

/** Milliseconds in a second. */
const MS_PER_SECOND = 1_000;

/** Report intervals after which the reports of all nodes have arrived once slots are short: each of them hears of it and replies. */
const SETTLING_INTERVALS = 4;

/** Credit that is kept from one division to the next, in calls; a call that arrives between two calls of a workspace finds it. */
const MAX_KEPT_CREDIT = 1;

/** Weight of the newest division in the rate at which a workspace's calls get slots; single divisions differ by whole calls. */
const RATE_WEIGHT = 0.25;

/** Workspace that asks for more than its share, as this node sees it. */
interface SpentAccount {
    /** Share in force; `undefined` while the workspace is within it. */
    share: SpentShare | undefined;
    /** Share that was last in force. */
    lastShare: SpentShare;
    /** Calls that this node may start within the share. */
    credit: number;
    /** Calls that all nodes start within the share, a second. */
    callsPerSecond: number;
    /** Calls of the workspace at the other nodes that want a slot within the window. */
    peerWantedCalls: number;
    /** First and last time at which the workspace was above its share, in milliseconds since the Unix epoch. */
    readonly aboveSinceMs: number;
    aboveAtMs: number;
    isLogged: boolean;
    /** Calls that were held back, and refused, since the workspace came above its share. */
    heldBackCalls: number;
    refusedCalls: number;
}

/** What a division is made of. */
export interface DivisionInput {
    /** Slots of the service's servers that all nodes in contact may take. */
    readonly slots: number;
    /** Calls of all nodes at the servers, as far as this node knows. */
    readonly allCalls: number;
    /** Loads of the workspaces at the other nodes, from recent reports. */
    readonly peers: ServiceLoads;
    /** Time between the nodes' reports, in milliseconds. */
    readonly intervalMs: number;
}

/** Share of a workspace for metrics. */
export interface WorkspaceShareFigures {
    readonly workspace: string;
    readonly shareSlots: number;
    readonly heldSlots: number;
}

/** Settings of {@linkcode WorkspaceShares}. */
export interface WorkspaceSharesSettings {
    readonly service: string;
    readonly clock: Clock;
    /** Called when a workspace comes above its share or returns to it, for the log. */
    readonly onChange: (text: string, detail: Readonly<Record<string, unknown>>) => void;
}

/** Decides which calls of each workspace are within its share. */
export class WorkspaceShares {
    private readonly accounts: WorkspaceAccounts;
    private readonly spent = new Map<number, SpentAccount>();
    private waitedAtMs = -Infinity;
    private peersWaitedAtMs = -Infinity;
    private shortSinceMs: number | undefined;
    private windowMs = 1;
    private fractionAbove = 0;
    private heldBack = 0;
    private refused = 0;

    /** @param settings See {@linkcode WorkspaceSharesSettings}. */
    constructor(private readonly settings: WorkspaceSharesSettings) {
        this.accounts = new WorkspaceAccounts(settings.clock, () => this.isShort);
    }

    /** Whether calls wait for slots at this node or at another one. */
    get isShort(): boolean {
        return this.isShortHere || this.settings.clock.now() - this.peersWaitedAtMs <= SHORT_MS;
    }

    /** Calls that were held back, and refused, because their workspace was above its share. */
    get heldBackCalls(): number {
        return this.heldBack;
    }

    /** As {@linkcode heldBackCalls}, of refused calls. */
    get refusedCalls(): number {
        return this.refused;
    }

    /** Counts a call that asks for a slot, also one whose caller was refused before. */
    recordArrival(key: number, name: string, isInTime: boolean): void {
        this.accounts.recordArrival(key, name, isInTime);
    }

    /** Counts a call that begins to wait. */
    recordWaiting(key: number): void {
        this.waitedAtMs = this.settings.clock.now();
        this.accounts.recordWaiting(key, 1);
        const account = this.spent.get(key);
        if (account?.share !== undefined) {
            account.heldBackCalls += 1;
            this.heldBack += 1;
        }
    }

    /** Counts the end of a call's wait. */
    recordWaitEnd(key: number): void {
        this.accounts.recordWaiting(key, -1);
    }

    /** Counts a call that takes a slot; one within the share uses up a credit. */
    recordStart(key: number, isAbove: boolean): void {
        this.accounts.recordStart(key);
        const account = this.spent.get(key);
        if (account !== undefined && !isAbove) {
            account.credit -= 1;
        }
    }

    /** Counts a call that releases its slot. */
    recordEnd(key: number): void {
        this.accounts.recordEnd(key);
    }

    /** Counts a call that was refused because its workspace is above its share. */
    recordRefused(key: number): void {
        this.refused += 1;
        const account = this.spent.get(key);
        if (account !== undefined) {
            account.refusedCalls += 1;
        }
    }

    /** Whether some workspace asks for more than its share. */
    get hasWorkspaceAbove(): boolean {
        for (const { share } of this.spent.values()) {
            if (share !== undefined) {
                return true;
            }
        }
        return false;
    }

    /** Whether a workspace asks for more than its share. */
    isAbove(key: number): boolean {
        return this.spent.get(key)?.share !== undefined;
    }

    /** Returns the calls of a workspace that this node may start within its share until the next division; unlimited within it. */
    credit(key: number): number {
        const account = this.spent.get(key);
        return account?.share === undefined ? Infinity : account.credit;
    }

    /** Returns the fraction of a workspace's calls that are within its share, from 0 to 1. */
    fractionWithin(key: number): number {
        const share = this.spent.get(key)?.share;
        return share === undefined || share.wantedCalls === 0 ? 1 : Math.min(1, share.startableCalls / share.wantedCalls);
    }

    /** Fraction of the arriving calls in time at this node that are beyond the share of their workspace, from 0 to 1. */
    get arrivalFractionAbove(): number {
        return this.spent.size === 0 ? 0 : this.fractionAbove;
    }

    /**
     * Returns the time in which the calls of a workspace up to a place get slots within its share, in milliseconds; 0 while the workspace
     * is within its share. The nodes start the workspace's calls in proportion to their demand.
     *
     * @param place Place among the workspace's calls that wait at this node, from 0.
     */
    waitMs(key: number, place: number): number {
        const account = this.spent.get(key);
        if (account?.share === undefined) {
            return 0;
        }
        const ownWanted = Math.max(1, this.wantedCalls(this.accounts.loadOf(key)));
        const ownPerSecond = account.callsPerSecond * ownWanted / (ownWanted + account.peerWantedCalls);
        return Math.max(0, place + 1 - account.credit) / ownPerSecond * MS_PER_SECOND;
    }

    /** Divides the slots for the next interval between reports. */
    divide({ slots, allCalls, peers, intervalMs }: DivisionInput): void {
        const now = this.settings.clock.now();
        this.windowMs = STALENESS_REPORT_INTERVALS * intervalMs;
        this.peersWaitedAtMs = peers.shortNodes > 0 ? now : this.peersWaitedAtMs;
        this.shortSinceMs = this.isShort ? this.shortSinceMs ?? now : undefined;
        // Until the reports of all nodes have arrived, the loads of the others are unknown.
        if (this.shortSinceMs === undefined || now - this.shortSinceMs < SETTLING_INTERVALS * intervalMs) {
            this.endAll();
            this.fractionAbove = 0;
            return;
        }
        const own = this.accounts.loads();
        const loads = addAll(own, peers.workspaces);
        let listedCalls = 0;
        for (const { heldCalls } of loads.values()) {
            listedCalls += heldCalls;
        }
        // Calls of workspaces that no report lists are small ones, which are served first.
        const divided = Math.max(0, slots - Math.max(0, allCalls - listedCalls));
        const shares = divideSlots(divided, loads, this.windowMs);
        for (const key of this.spent.keys()) {
            if (!shares.has(key)) {
                this.end(key);
            }
        }
        for (const [key, share] of shares) {
            this.apply(key, share, own.get(key) ?? NO_LOAD);
        }
        this.fractionAbove = this.estimateFractionAbove();
    }

    /** Estimates the fraction once for each division, as there may be hundreds of workspaces. */
    private estimateFractionAbove(): number {
        let abovePerSecond = 0;
        for (const key of this.spent.keys()) {
            abovePerSecond += this.accounts.inTimeArrivalsPerSecond(key) * (1 - this.fractionWithin(key));
        }
        return abovePerSecond === 0 ? 0 : Math.min(1, abovePerSecond / this.accounts.allInTimeArrivalsPerSecond);
    }

    /** Returns the largest loads at this node while slots are short; `undefined` otherwise. */
    reported(): ServiceLoads | undefined {
        if (!this.isShort) {
            return undefined;
        }
        return {
            shortNodes: this.isShortHere ? 1 : 0,
            workspaces: new Map(largestLoads(this.accounts.loads(), MAX_REPORTED_WORKSPACES)),
        };
    }

    /** Returns the shares of the workspaces that are above them and have calls at this node, the largest first. */
    figures(): readonly WorkspaceShareFigures[] {
        const figures: WorkspaceShareFigures[] = [];
        for (const [key, { share }] of this.spent) {
            const workspace = this.accounts.nameOf(key);
            if (share !== undefined && workspace !== undefined) {
                figures.push({ workspace, shareSlots: share.slots, heldSlots: share.heldCalls });
            }
        }
        return figures.sort((left, right) => right.heldSlots - left.heldSlots).slice(0, MAX_REPORTED_WORKSPACES);
    }

    private get isShortHere(): boolean {
        return this.settings.clock.now() - this.waitedAtMs <= SHORT_MS || this.accounts.waitingCalls > 0;
    }

    private apply(key: number, share: SpentShare, own: WorkspaceLoad): void {
        const now = this.settings.clock.now();
        let account = this.spent.get(key);
        if (account === undefined) {
            account = {
                share: undefined,
                lastShare: share,
                credit: MAX_KEPT_CREDIT,
                callsPerSecond: 0,
                peerWantedCalls: 0,
                aboveSinceMs: now,
                aboveAtMs: now,
                isLogged: false,
                heldBackCalls: 0,
                refusedCalls: 0,
            };
            this.spent.set(key, account);
        }
        const perSecond = share.startableCalls / this.windowMs * MS_PER_SECOND;
        const weight = account.share === undefined ? 1 : RATE_WEIGHT;
        account.callsPerSecond += (perSecond - account.callsPerSecond) * weight;
        account.share = share;
        account.lastShare = share;
        account.aboveAtMs = now;
        if (!account.isLogged && now - account.aboveSinceMs >= MIN_LOGGED_MS && this.loggedWorkspaces < MAX_LOGGED_WORKSPACES) {
            account.isLogged = this.log("shares: workspace above its share", key, share, {});
        }
        const ownWanted = this.wantedCalls(own);
        account.peerWantedCalls = Math.max(0, share.wantedCalls - ownWanted);
        account.credit = Math.min(MAX_KEPT_CREDIT, account.credit) +
            this.fractionWithin(key) * ownWanted / STALENESS_REPORT_INTERVALS;
    }

    /** @returns Calls of a workspace at this node that want a slot within the window. */
    private wantedCalls({ waitingCalls, arrivalsPerSecond }: WorkspaceLoad): number {
        return waitingCalls + arrivalsPerSecond * this.windowMs / MS_PER_SECOND;
    }

    private end(key: number): void {
        const account = this.spent.get(key);
        if (account === undefined) {
            return;
        }
        account.share = undefined;
        account.credit = Math.max(0, Math.min(MAX_KEPT_CREDIT, account.credit));
        if (this.settings.clock.now() - account.aboveAtMs >= QUIET_MS) {
            this.spent.delete(key);
            const { heldBackCalls, refusedCalls, isLogged } = account;
            if (isLogged) {
                this.log("shares: workspace within its share", key, account.lastShare, { heldBackCalls, refusedCalls });
            }
        }
    }

    private endAll(): void {
        for (const key of this.spent.keys()) {
            this.end(key);
        }
    }

    private get loggedWorkspaces(): number {
        let logged = 0;
        for (const { isLogged } of this.spent.values()) {
            logged += isLogged ? 1 : 0;
        }
        return logged;
    }

    /** @returns Whether the line was written: the name of a workspace without calls at this node is unknown. */
    private log(text: string, key: number, share: SpentShare, detail: Readonly<Record<string, unknown>>): boolean {
        const workspace = this.accounts.nameOf(key);
        if (workspace === undefined) {
            return false;
        }
        const slots = { shareSlots: Math.round(share.slots), heldSlots: Math.round(share.heldCalls) };
        this.settings.onChange(text, { service: this.settings.service, workspace, ...slots, ...detail });
        return true;
    }
}

function addAll(
    own: ReadonlyMap<number, WorkspaceLoad>,
    peers: ReadonlyMap<number, WorkspaceLoad>,
): Map<number, WorkspaceLoad> {
    const sums = new Map(own);
    for (const [key, load] of peers) {
        sums.set(key, addLoad(sums.get(key) ?? NO_LOAD, load));
    }
    return sums;
}
