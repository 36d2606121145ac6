/**
 * Everything of an entry VM but its connections, so that tests can compose it with stand-ins and another clock.
 *
 * @module
 */

import { runEffects, tap } from "@most/core";
import { newDefaultScheduler } from "@most/scheduler";
import {
    type CallObserver,
    CallResolver,
    ConfigurationFollower,
    Dispatcher,
    LeastLoadedScheduler,
    LocalCallGuard,
    type Member,
    type Membership,
    PlatformWatch,
    RequestHandler,
    RetryBudget,
} from "../coordination/mod.js";
import type { Dissemination, Engine, LogService, PlainService, VmList } from "../protocol/mod.js";
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
    /** Other entry VMs as this one sees them. */
    readonly membership: Membership;
    /** Values shared with other nodes. */
    readonly dissemination: Dissemination;
    readonly observer: CallObserver;
}

/** State and coordination of one entry VM. */
export class EntryNode {
    readonly view = new ConfigurationView();
    readonly table = new BackendTable();
    readonly hybridClock: HybridClock;
    readonly ring: EventRing;
    readonly handler: RequestHandler;
    readonly follower: ConfigurationFollower;
    readonly membership: Membership;
    /** Entry VMs of the last VM list, this one included. */
    entryVms: readonly Vm[] = [];
    private readonly watch: PlatformWatch;
    private readonly stopped = new AbortController();
    private tasks: readonly Promise<void>[] = [];

    /** @param settings See {@linkcode NodeSettings}. */
    constructor(readonly settings: NodeSettings) {
        const { clock, random, engine, plainService, observer } = settings;
        const { view, table } = this;
        this.membership = settings.membership;
        this.hybridClock = settings.membership.hybridClock;
        this.ring = new EventRing(settings.node, this.hybridClock);
        const { ring } = this;
        this.watch = new PlatformWatch({ clock, ring, vmList: settings.vmList, engine, table });
        this.follower = new ConfigurationFollower({ clock, ring, log: settings.log, view });
        const scheduler = new LeastLoadedScheduler(table, random);
        this.handler = new RequestHandler({
            clock,
            ring,
            resolver: new CallResolver(view, clock),
            guard: new LocalCallGuard(),
            dispatcher: new Dispatcher({ scheduler, retryBudget: new RetryBudget(clock), ring }),
            engine,
            plainService,
            observer,
        });
    }

    /** Whether the node has a configuration to serve by. */
    get configured(): boolean {
        return this.view.current.version >= 0;
    }

    /** Starts the tasks that follow the platform. */
    start(): void {
        const { membership, watch, ring } = this;
        const recordChange = (member: Member) => {
            const text = `Member ${member.id} of ${member.failureDomain} is ${member.state}.`;
            ring.record({ part: Part.Member, kind: member.state, peer: member.id, text });
        };
        const scheduler = newDefaultScheduler();
        const takeList = (vms: readonly Vm[]) => {
            this.entryVms = vms.filter(vm => vm.role === VmRole.Entry);
            membership.seed(vms);
        };
        void runEffects(tap(takeList, watch.lists), scheduler);
        void runEffects(tap(recordChange, membership.changes), scheduler);
        const { signal } = this.stopped;
        this.tasks = [this.follower.run(signal), watch.run(signal), membership.run(signal)];
    }

    /** Ends the tasks. */
    async stop(): Promise<void> {
        this.stopped.abort();
        await Promise.all(this.tasks);
    }
}
