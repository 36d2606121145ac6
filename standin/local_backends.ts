/**
 * In-process clients of simulated engines and services, in place of HTTP.
 *
 * @module
 */

import {
    type CacheEventBatch,
    DispatchError,
    DispatchFault,
    DispatchStep,
    Engine,
    type EngineEvent,
    type EngineRequest,
    Executed,
    PlainService,
    PlatformError,
    type ServiceAnswer,
    type ServiceRequest,
} from "../src/protocol/mod.js";
import type { LoadReport, Vm } from "../src/state/mod.js";
import type { EngineModel } from "./engine_model.js";
import type { ServiceModel } from "./service_model.js";

/** Engine client that calls simulated engines in the same process. */
export class LocalEngines extends Engine {
    /** @param models Simulated backends by VM id; tests may add more. */
    constructor(readonly models: Map<string, EngineModel>) {
        super();
    }

    override async *generate(vm: Vm, request: EngineRequest, signal: AbortSignal): AsyncGenerator<EngineEvent> {
        const model = this.models.get(vm.id);
        if (model === undefined || model.faults.refuse) {
            throw makeDispatchError(vm, DispatchFault.Refused, DispatchStep.Connect);
        }
        if (model.faults.serverError) {
            throw makeDispatchError(vm, DispatchFault.ServerError, DispatchStep.AwaitHead);
        }
        let count = 0;
        for await (const event of model.generate(request, signal)) {
            if (model.faults.cross) {
                throw makeDispatchError(vm, DispatchFault.Mismatched, DispatchStep.AwaitFirstToken);
            }
            if (event.kind === "token" && count === model.faults.breakAfterTokens) {
                throw makeDispatchError(vm, DispatchFault.Broken, DispatchStep.ReadBody);
            }
            count += 1;
            yield event;
        }
        if (signal.aborted) {
            throw makeDispatchError(vm, DispatchFault.Cancelled, DispatchStep.ReadBody);
        }
    }

    override async readLoad(vm: Vm): Promise<LoadReport> {
        const model = this.models.get(vm.id);
        if (model === undefined || model.faults.refuse) {
            throw new PlatformError("read load report", vm.id, Executed.No, new Error("the connection was refused"));
        }
        return model.readLoadReport();
    }

    override async readCacheEvents(vm: Vm, after: number): Promise<CacheEventBatch> {
        const model = this.models.get(vm.id);
        if (model === undefined || model.faults.refuse) {
            throw new PlatformError("read cache events", vm.id, Executed.No, new Error("the connection was refused"));
        }
        return model.cacheEvents.read(after);
    }
}

/** Plain-service client that calls simulated services in the same process. */
export class LocalServices extends PlainService {
    /** @param models Simulated backends by VM id; tests may add more. */
    constructor(readonly models: Map<string, ServiceModel>) {
        super();
    }

    override async send(vm: Vm, request: ServiceRequest, signal: AbortSignal): Promise<ServiceAnswer> {
        const model = this.models.get(vm.id);
        if (model === undefined || model.faults.refuse) {
            throw makeDispatchError(vm, DispatchFault.Refused, DispatchStep.Connect);
        }
        const answer = await model.send(request, signal);
        if (signal.aborted) {
            throw makeDispatchError(vm, DispatchFault.Cancelled, DispatchStep.AwaitHead);
        }
        if (model.faults.breakAfterEffect) {
            throw makeDispatchError(vm, DispatchFault.Broken, DispatchStep.AwaitHead);
        }
        if (model.faults.cross) {
            throw makeDispatchError(vm, DispatchFault.Mismatched, DispatchStep.ReadBody);
        }
        return answer;
    }
}

function makeDispatchError(vm: Vm, fault: DispatchFault, step: DispatchStep): DispatchError {
    return new DispatchError({ fault, step, peer: vm.id });
}
