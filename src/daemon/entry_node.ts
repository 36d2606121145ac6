/**
 * Everything of an entry VM but its connections, so that tests can compose it with stand-ins and another clock.
 *
 * @module
 */

import { runEffects, tap } from "@most/core";
import { newDefaultScheduler } from "@most/scheduler";
import {
    AttemptMeter,
    type CallObserver,
    CallResolver,
    ConfigurationFollower,
    Dispatcher,
    LeastLoadedScheduler,
    LocalCallGuard,
    PlatformWatch,
    RequestHandler,
    RetryBudget,
    RolloutDesk,
    RolloutFollower,
    RolloutManager,
    RolloutNotifier,
} from "../coordination/mod.js";
import {
    type ConfigurationPeers,
    type Dissemination,
    type Engine,
    type LogService,
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
    HybridClock,
    type RandomSource,
    type Vm,
    VmRole,
} from "../state/mod.js";

/** What a node needs from outside. */
export interface NodeSettings {
    /** Id of the node. */
    readonly node: string;
    readonly failureDomain: string;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly engine: Engine;
    readonly plainService: PlainService;
    readonly log: LogService;
    readonly vmList: VmList;
    /** Values shared with other nodes. */
    readonly dissemination: Dissemination;
    /** Configuration of other nodes. */
    readonly configurationPeers: ConfigurationPeers;
    readonly observer: CallObserver;
    /** Receiver of events about rollouts. Defaults to none. */
    readonly webhook?: Webhook;
}

/** State and coordination of one entry VM. */
export class EntryNode {
    readonly view: ConfigurationView;
    readonly table = new BackendTable();
    readonly hybridClock: HybridClock;
    readonly ring: EventRing;
    readonly handler: RequestHandler;
    readonly follower: ConfigurationFollower;
    readonly rolloutFollower: RolloutFollower;
    readonly rollouts: RolloutManager;
    readonly rolloutDesk: RolloutDesk;
    private readonly notifier: RolloutNotifier;
    /** Entry VMs of the last VM list, this one included. */
    entryVms: readonly Vm[] = [];
    private readonly watch: PlatformWatch;
    private readonly stopped = new AbortController();
    private tasks: readonly Promise<void>[] = [];

    /** @param settings See {@linkcode NodeSettings}. */
    constructor(readonly settings: NodeSettings) {
        const { clock, random, engine, plainService, observer } = settings;
        this.view = new ConfigurationView(clock);
        const { view, table } = this;
        this.hybridClock = new HybridClock(clock);
        this.ring = new EventRing(settings.node, this.hybridClock);
        const { ring } = this;
        this.watch = new PlatformWatch({ clock, ring, vmList: settings.vmList, engine, table });
        this.follower = new ConfigurationFollower({
            clock,
            random,
            ring,
            log: settings.log,
            view,
            dissemination: settings.dissemination,
            peers: settings.configurationPeers,
            entryVms: () => this.entryVms,
        });
        this.rolloutFollower = new RolloutFollower({ clock, ring, log: settings.log });
        this.rollouts = this.makeRollouts();
        const { rolloutFollower, rollouts } = this;
        this.rolloutDesk = new RolloutDesk({
            node: settings.node,
            clock,
            view,
            table,
            follower: rolloutFollower,
            manager: rollouts,
        });
        this.notifier = this.makeNotifier();
        const scheduler = new LeastLoadedScheduler(table, random, this.rollouts);
        const attempts = new AttemptMeter(clock, this.rollouts.attempts);
        this.handler = new RequestHandler({
            clock,
            ring,
            resolver: new CallResolver(view, clock),
            guard: new LocalCallGuard(),
            dispatcher: new Dispatcher({ scheduler, retryBudget: new RetryBudget(clock), ring, attempts }),
            engine,
            plainService,
            observer,
        });
    }

    /** Whether the node has a configuration to serve by. */
    get configured(): boolean {
        return this.follower.configured;
    }

    /** Starts the tasks that follow the platform. */
    start(): void {
        const keepEntryVms = (vms: readonly Vm[]) => {
            this.entryVms = vms.filter(vm => vm.role === VmRole.Entry);
        };
        void runEffects(tap(keepEntryVms, this.watch.lists), newDefaultScheduler());
        const { signal } = this.stopped;
        this.tasks = [
            this.follower.run(signal),
            this.watch.run(signal),
            this.rolloutFollower.run(signal),
            this.rollouts.run(signal),
        ];
    }

    /** Ends the tasks. */
    async stop(): Promise<void> {
        this.stopped.abort();
        this.notifier.stop();
        await Promise.all(this.tasks);
    }

    private makeRollouts(): RolloutManager {
        const { node, failureDomain, clock, random, dissemination } = this.settings;
        const { ring, table } = this;
        const journal = this.rolloutFollower;
        const peers = () => this.otherEntryVms();
        return new RolloutManager({ node, failureDomain, clock, random, ring, table, dissemination, journal, peers });
    }

    private makeNotifier(): RolloutNotifier {
        const { node, clock, webhook = new SilentWebhook() } = this.settings;
        const peers = () => this.otherEntryVms();
        return new RolloutNotifier({ node, clock, ring: this.ring, follower: this.rolloutFollower, webhook, peers });
    }

    private otherEntryVms(): readonly Vm[] {
        return this.entryVms.filter(vm => vm.id !== this.settings.node);
    }
}
