/**
 * Handling of calls from arrival to answer.
 *
 * @module
 */

import {
    type AcceptedCall,
    type AnswerWriter,
    CallHandler,
    type Engine,
    Executed,
    type IncomingCall,
    type PlainService,
    Refusal,
    RefusalType,
    type ServiceAnswer,
} from "../protocol/mod.js";
import { type Clock, type EventRing, Part } from "../state/mod.js";
import { CallScope } from "./_call_scope.js";
import { CallTimer } from "./_call_timer.js";
import type { CallObserver } from "./call_observer.js";
import type { CallResolver } from "./call_resolver.js";
import { type DispatchGuard, type DispatchPermit, RecordedAnswer } from "./dispatch_guard.js";
import type { Dispatcher } from "./dispatcher.js";
import { ModelDispatch } from "./model_dispatch.js";
import { ServiceDispatch } from "./service_dispatch.js";

/** Settings of a {@linkcode RequestHandler}. */
export interface RequestHandlerSettings {
    readonly clock: Clock;
    readonly ring: EventRing;
    readonly resolver: CallResolver;
    readonly guard: DispatchGuard;
    readonly dispatcher: Dispatcher;
    readonly engine: Engine;
    readonly plainService: PlainService;
    readonly observer: CallObserver;
}

/** Resolves each call, enforces its semantics, dispatches it and writes the answer. */
export class RequestHandler extends CallHandler {
    private activeCalls = 0;

    /** @param settings See {@linkcode RequestHandlerSettings}. */
    constructor(private readonly settings: RequestHandlerSettings) {
        super();
    }

    /** Number of calls in progress, waiting or running. */
    get active(): number {
        return this.activeCalls;
    }

    override async handle(incoming: IncomingCall, writer: AnswerWriter): Promise<void> {
        this.activeCalls += 1;
        let call: AcceptedCall | undefined;
        try {
            call = this.settings.resolver.resolve(incoming);
            this.settings.observer.recordAccepted(call);
            await this.serve(call, writer);
        }
        catch (error) {
            const refusal = toRefusal(error);
            this.settings.observer.recordRefused(call, refusal);
            this.recordEvent(incoming.id, "refused", `Call was refused as ${refusal.type}: ${refusal.message}`);
            writer.refuse(refusal);
        }
        finally {
            this.activeCalls -= 1;
        }
    }

    private async serve(call: AcceptedCall, writer: AnswerWriter): Promise<void> {
        const permit = this.settings.guard.admit(call);
        const scope = new CallScope(call, this.settings.clock);
        try {
            const timer = await this.dispatch(scope, permit, writer);
            this.settings.observer.recordAnswered(call, timer.finish());
        }
        catch (error) {
            if (error instanceof RecordedAnswer) {
                writeServiceAnswer(writer, error.answer);
                return;
            }
            const refusal = toRefusal(error);
            throw refusal.withExecuted(await permit.fail(refusal.executed));
        }
        finally {
            scope.close();
        }
    }

    private async dispatch(scope: CallScope, permit: DispatchPermit, writer: AnswerWriter): Promise<CallTimer> {
        const timer = new CallTimer(scope.call, this.settings.clock);
        if (scope.call.promptTokens === 0) {
            const dispatch = new ServiceDispatch({ scope, permit, service: this.settings.plainService });
            await this.settings.dispatcher.run(dispatch);
            await permit.complete(dispatch.answer);
            writeServiceAnswer(writer, dispatch.answer as ServiceAnswer);
            return timer;
        }
        const dispatch = new ModelDispatch({
            scope,
            permit,
            writer,
            engine: this.settings.engine,
            model: scope.call.operation.pool,
            onToken: () => timer.recordToken(),
        });
        await this.settings.dispatcher.run(dispatch);
        await permit.complete(undefined);
        return timer;
    }

    private recordEvent(requestId: string, kind: string, text: string): void {
        this.settings.ring.record({ part: Part.Caller, kind, text, requestId });
    }
}

function writeServiceAnswer(writer: AnswerWriter, answer: ServiceAnswer): void {
    writer.writeComplete({ status: answer.status, contentType: answer.contentType }, answer.body);
}

function toRefusal(error: unknown): Refusal {
    if (error instanceof Refusal) {
        return error;
    }
    const detail = `The node failed: ${error instanceof Error ? error.message : String(error)}.`;
    return new Refusal(RefusalType.BackendFailed, detail, { executed: Executed.Unknown });
}
