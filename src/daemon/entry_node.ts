/**
 * Everything of an entry VM but its connections, so that tests can compose it with stand-ins and another clock.
 *
 * @module
 */

import { runEffects, tap } from "@most/core";
import { newDefaultScheduler } from "@most/scheduler";
import { setMaxListeners } from "node:events";
import {
    AttemptMeter,
    type CallObserver,
    CallResolver,
    ClaimGuard,
    ConfigurationFollower,
    Dispatcher,
    type KeyRules,
    type Member as GroupMember,
    type Membership,
    MemberState,
    NoClaimClient,
    PlatformWatcher,
    RequestHandler,
    RetryBudget,
    RolloutFollower,
    RolloutManager,
    RolloutNotifier,
    RolloutOperatorService,
    type Scheduler,
    TieredScheduler,
} from "../coordination/mod.js";
import {
    type ClaimClient,
    type ConfigurationPeers,
    type Dissemination,
    type Engine,
    type LogService,
    type Member,
    type MemberView,
    type PlainService,
    SilentWebhook,
    type VmList,
    type Webhook,
} from "../protocol/mod.js";
import {
    BackendTable,
    type Clock,
    ConfigurationView,
    EventRing,
    type HybridClock,
    Part,
    type RandomSource,
    type Vm,
    VmRole,
    VmState,
} from "../state/mod.js";

/** What a node needs from outside. */
export interface EntryNodeSettings {
    /** Id of the node. */
    readonly node: string;
    readonly failureDomain: string;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly engine: Engine;
    readonly plainService: PlainService;
    readonly log: LogService;
    readonly vmList: VmList;
    /** Other entry VMs as this one sees them. */
    readonly membership: Membership;
    /** Values shared with other nodes. */
    readonly dissemination: Dissemination;
    /** Configuration of other nodes. */
    readonly configurationPeers: ConfigurationPeers;
    readonly observer: CallObserver;
    /** Connections to the claim combiners of other nodes. Defaults to none. */
    readonly claimClient?: ClaimClient;
    /** Which idempotency keys are taken. */
    readonly keyRules?: KeyRules;
    /** Makes the scheduler of a node. Defaults to a {@linkcode TieredScheduler}. */
    readonly makeScheduler?: (node: EntryNode) => Scheduler;
    /** Receiver of events about rollouts. Defaults to none. */
    readonly webhook?: Webhook;
}

/** Longest time that a node which ends waits for its outcomes to reach the log, in milliseconds. */
const CLAIM_FLUSH_TIMEOUT_MS = 5_000;

/** Tasks and waits of a node that end with it; each listens for the end. */
const MAX_STOP_LISTENERS = 64;

/** States of members that can be asked for something. */
const REACHABLE_STATES: ReadonlySet<MemberState> = new Set([MemberState.Listed, MemberState.Alive, MemberState.Suspect]);

/** State and coordination of one entry VM. */
export class EntryNode implements MemberView {
    readonly view: ConfigurationView;
    readonly table = new BackendTable();
    readonly hybridClock: HybridClock;
    readonly ring: EventRing;
    readonly guard: ClaimGuard;
    readonly scheduler: Scheduler;
    readonly handler: RequestHandler;
    readonly configurationFollower: ConfigurationFollower;
    readonly membership: Membership;
    readonly rolloutFollower: RolloutFollower;
    readonly rollouts: RolloutManager;
    readonly rolloutOperatorService: RolloutOperatorService;
    private readonly notifier: RolloutNotifier;
    /** Entry VMs of the last VM list, this one included. */
    entryVms: readonly Vm[] = [];
    private readonly platformWatcher: PlatformWatcher;
    private readonly stopped = new AbortController();
    private tasks: readonly Promise<void>[] = [];

    /** @param settings See {@linkcode EntryNodeSettings}. */
    constructor(readonly settings: EntryNodeSettings) {
        setMaxListeners(MAX_STOP_LISTENERS, this.stopped.signal);
        const { clock, random, engine, plainService, observer } = settings;
        this.view = new ConfigurationView(clock);
        const { view, table } = this;
        this.membership = settings.membership;
        this.hybridClock = settings.membership.hybridClock;
        this.ring = new EventRing(settings.node, this.hybridClock);
        const { ring } = this;
        this.platformWatcher = new PlatformWatcher({ clock, ring, vmList: settings.vmList, engine, table });
        this.configurationFollower = new ConfigurationFollower({
            clock,
            random,
            ring,
            log: settings.log,
            view,
            dissemination: settings.dissemination,
            peers: settings.configurationPeers,
            entryVms: () => this.entryVms,
        });
        this.guard = new ClaimGuard({
            node: settings.node,
            clock,
            ring,
            log: settings.log,
            members: this,
            client: settings.claimClient ?? new NoClaimClient(),
            keyRules: settings.keyRules,
        });
        this.rolloutFollower = new RolloutFollower({ clock, ring, log: settings.log });
        this.rollouts = this.makeRolloutManager();
        const { rolloutFollower, rollouts } = this;
        this.rolloutOperatorService = new RolloutOperatorService({
            node: settings.node,
            clock,
            view,
            table,
            follower: rolloutFollower,
            manager: rollouts,
        });
        this.notifier = this.makeRolloutNotifier();
        const { node, dissemination } = settings;
        const scheduler = settings.makeScheduler?.(this) ??
            new TieredScheduler({ node, clock, random, table, view, dissemination, ring, engine, versions: rollouts });
        this.scheduler = scheduler;
        const attempts = new AttemptMeter(clock, rollouts.attempts);
        this.handler = new RequestHandler({
            clock,
            ring,
            resolver: new CallResolver(view, clock),
            guard: this.guard,
            dispatcher: new Dispatcher({ scheduler, retryBudget: new RetryBudget(clock), ring, attemptMeter: attempts }),
            engine,
            plainService,
            observer,
        });
    }

    /** Whether the node has a configuration to serve by. */
    get configured(): boolean {
        return this.configurationFollower.configured;
    }

    /** Entry VMs that take new work as far as this node can tell, this one included. */
    get live(): readonly Member[] {
        const leaving = new Set(this.entryVms.filter(vm => vm.state === VmState.Leaving).map(vm => vm.id));
        return this.membership.list().filter(member => REACHABLE_STATES.has(member.state) && !leaving.has(member.id));
    }

    /** Starts the tasks that follow the platform. */
    start(): void {
        const { membership, platformWatcher: watch, ring } = this;
        const scheduler = newDefaultScheduler();
        const takeList = (vms: readonly Vm[]) => {
            this.entryVms = vms.filter(vm => vm.role === VmRole.Entry);
            membership.seed(vms);
        };
        void runEffects(tap(takeList, watch.vmLists), scheduler);
        void runEffects(tap(member => recordMemberState(ring, member), membership.changes), scheduler);
        const { signal } = this.stopped;
        this.tasks = [
            this.configurationFollower.run(signal),
            watch.run(signal),
            membership.run(signal),
            this.scheduler.run(signal),
            this.rolloutFollower.run(signal),
            this.rollouts.run(signal),
        ];
    }

    /** Waits, within bounds, until the outcomes of calls stand in the log. */
    async flush(): Promise<void> {
        const limit = new AbortController();
        void this.settings.clock.sleep(CLAIM_FLUSH_TIMEOUT_MS, limit.signal).then(() => limit.abort());
        await this.guard.close(limit.signal);
        limit.abort();
    }

    /** Ends the tasks. */
    async stop(): Promise<void> {
        this.stopped.abort();
        this.notifier.stop();
        await Promise.all(this.tasks);
    }

    private makeRolloutManager(): RolloutManager {
        const { node, failureDomain, clock, random, dissemination } = this.settings;
        const { ring, table } = this;
        const journal = this.rolloutFollower;
        const peers = () => this.otherEntryVms();
        return new RolloutManager({ node, failureDomain, clock, random, ring, table, dissemination, journal, peers });
    }

    private makeRolloutNotifier(): RolloutNotifier {
        const { node, clock, webhook = new SilentWebhook() } = this.settings;
        const peers = () => this.otherEntryVms();
        return new RolloutNotifier({ node, clock, ring: this.ring, follower: this.rolloutFollower, webhook, peers });
    }

    private otherEntryVms(): readonly Vm[] {
        return this.entryVms.filter(vm => vm.id !== this.settings.node);
    }
}

function recordMemberState(ring: EventRing, { id, failureDomain, state }: GroupMember): void {
    ring.record({ part: Part.Member, kind: state, peer: id, text: `Member ${id} of ${failureDomain} is ${state}.` });
}
