/**
 * Entry VM without its network connections, so that tests can run it with simulated services and a simulated clock.
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
    PlatformWatcher,
    RequestHandler,
    RetryBudget,
    RolloutFollower,
    RolloutManager,
    RolloutNotifier,
    RolloutOperatorService,
    type Scheduler,
    StandaloneClaimClient,
    TieredScheduler,
} from "../coordination/mod.js";
import {
    type ClaimClient,
    type ConfigurationClient,
    type Dissemination,
    type Engine,
    type LiveMember,
    type LogService,
    type MemberView,
    NoopWebhook,
    type PlainService,
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

/** Dependencies and settings of an {@linkcode EntryNode}. */
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
    /** Membership of the entry VMs as seen by this node. */
    readonly membership: Membership;
    /** Dissemination of shared values between nodes. */
    readonly dissemination: Dissemination;
    /** Client that fetches configuration records from peers that have read further in the log. */
    readonly configurationClient: ConfigurationClient;
    readonly observer: CallObserver;
    /** Client of the claim combiners of other nodes. Defaults to none. */
    readonly claimClient?: ClaimClient;
    /** Rules for the idempotency keys that are accepted. */
    readonly keyRules?: KeyRules;
    /** Creates the scheduler of a node. Defaults to a {@linkcode TieredScheduler}. */
    readonly makeScheduler?: (node: EntryNode) => Scheduler;
    /** Receiver of rollout notifications. Defaults to none. */
    readonly webhook?: Webhook;
}

/** Maximum time that a stopping node waits for call outcomes to be written to the log, in milliseconds. */
const CLAIM_FLUSH_TIMEOUT_MS = 5_000;

/** Maximum number of listeners on the stop signal; every task and pending wait of a node adds one. */
const MAX_STOP_LISTENERS = 64;

/** States in which a member is expected to answer requests. */
const REACHABLE_STATES: ReadonlySet<MemberState> = new Set([MemberState.Listed, MemberState.Alive, MemberState.Suspect]);

/** Holds the state of one entry VM, and runs its scheduling and its coordination with other nodes. */
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
    /** Entry VMs in the latest VM list, this one included. */
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
            client: settings.configurationClient,
            entryVms: () => this.entryVms,
        });
        this.guard = new ClaimGuard({
            node: settings.node,
            clock,
            ring,
            log: settings.log,
            members: this,
            client: settings.claimClient ?? new StandaloneClaimClient(),
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
            new TieredScheduler({ node, clock, random, table, view, dissemination, ring, engine, versionPolicy: rollouts });
        this.scheduler = scheduler;
        const attemptMeter = new AttemptMeter(clock, rollouts.attemptObserver);
        this.handler = new RequestHandler({
            clock,
            ring,
            resolver: new CallResolver(view, clock),
            guard: this.guard,
            dispatcher: new Dispatcher({ scheduler, retryBudget: new RetryBudget(clock), ring, attemptMeter }),
            engine,
            plainService,
            observer,
        });
    }

    /** Whether the node has a configuration. */
    get configured(): boolean {
        return this.configurationFollower.isConfigured;
    }

    /** Entry VMs that accept new calls according to this node's view of the membership, this one included. */
    get live(): readonly LiveMember[] {
        const leaving = new Set(this.entryVms.filter(vm => vm.state === VmState.Leaving).map(vm => vm.id));
        return this.membership.list().filter(member => REACHABLE_STATES.has(member.state) && !leaving.has(member.id));
    }

    /** Starts the background tasks. */
    start(): void {
        const { membership, platformWatcher, ring } = this;
        const scheduler = newDefaultScheduler();
        const applyVmList = (vms: readonly Vm[]) => {
            this.entryVms = vms.filter(vm => vm.role === VmRole.Entry);
            membership.applyVmList(vms);
        };
        void runEffects(tap(applyVmList, platformWatcher.vmLists), scheduler);
        void runEffects(tap(member => recordMemberState(ring, member), membership.changes), scheduler);
        const { signal } = this.stopped;
        this.tasks = [
            this.configurationFollower.run(signal),
            platformWatcher.run(signal),
            membership.run(signal),
            this.scheduler.run(signal),
            this.rolloutFollower.run(signal),
            this.rollouts.run(signal),
        ];
    }

    /** Waits until call outcomes are written to the log, for {@linkcode CLAIM_FLUSH_TIMEOUT_MS} at most. */
    async flush(): Promise<void> {
        const timeout = new AbortController();
        void this.settings.clock.sleep(CLAIM_FLUSH_TIMEOUT_MS, timeout.signal).then(() => timeout.abort());
        await this.guard.close(timeout.signal);
        timeout.abort();
    }

    /** Stops the background tasks and waits for them to end. */
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
        const { node, clock, webhook = new NoopWebhook() } = this.settings;
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
