/**
 * gRPC services of a daemon: maps each call to its handler and authorizes the client.
 *
 * @module
 */

import type { ServerWritableStream } from "@grpc/grpc-js";
import type {
    ClaimHandler,
    ConfigurationOperatorHandler,
    ConfigurationPeerHandler,
    OperatorHandler,
    PeerHandler,
    RolloutOperatorHandler,
} from "../protocol/mod.js";
import { claimWire, configurationWire, rolloutWire, type TimelineFeed, wire } from "../protocol/mod.js";
import { type FindOperator, operatorHandler, readOperatorKey, unauthenticatedError } from "./_grpc_handlers.js";
import type { GrpcService } from "./grpc_server.js";
import type { PeerAuthorizer } from "./peer_authorizer.js";

export { type FindOperator, OPERATOR_KEY_FIELD } from "./_grpc_handlers.js";

/** Returns the service for membership and dissemination between daemons. */
export function peerService(handler: PeerHandler, authorizer: PeerAuthorizer): GrpcService {
    const implementation: wire.PeerServer = {
        probe: authorizer.requirePeer(request => handler.probe(request)),
        relay: authorizer.requirePeer(request => handler.probeIndirectly(request)),
        exchange: authorizer.requirePeer(request => handler.exchange(request)),
    };
    return { definition: wire.PeerService, implementation };
}

/** Returns the service for fetching configuration between daemons. */
export function configurationPeerService(handler: ConfigurationPeerHandler, authorizer: PeerAuthorizer): GrpcService {
    const implementation: configurationWire.ConfigurationPeerServer = {
        fetch: authorizer.requirePeer(request => handler.fetchConfiguration(request)),
    };
    return { definition: configurationWire.ConfigurationPeerService, implementation };
}

/** Returns the service for committing claims between daemons. */
export function claimPeerService(handler: ClaimHandler, authorizer: PeerAuthorizer): GrpcService {
    const implementation: claimWire.ClaimPeerServer = { commit: authorizer.requirePeer(request => handler.commit(request)) };
    return { definition: claimWire.ClaimPeerService, implementation };
}

/** Returns the service that lets operators read the status and the timeline. */
export function operatorService(handler: OperatorHandler, findOperator: FindOperator): GrpcService {
    const implementation: wire.OperatorServer = {
        readStatus: operatorHandler(findOperator, () => handler.readStatus()),
        readTimeline: call => {
            if (findOperator(readOperatorKey(call.metadata)) === undefined) {
                call.emit("error", unauthenticatedError());
                return;
            }
            handler.readTimeline(call.request, toTimelineFeed(call));
        },
    };
    return { definition: wire.OperatorService, implementation };
}

/** Returns the service that lets operators read and change the configuration. */
export function configurationOperatorService(handler: ConfigurationOperatorHandler, findOperator: FindOperator): GrpcService {
    const implementation: configurationWire.ConfigurationOperatorServer = {
        readConfiguration: operatorHandler(findOperator, () => handler.readConfiguration()),
        changeConfiguration: operatorHandler(findOperator, (request, operator) => handler.changeConfiguration(request, operator)),
    };
    return { definition: configurationWire.ConfigurationOperatorService, implementation };
}

/** Returns the service that lets operators list calls with an unknown outcome. */
export function claimOperatorService(handler: ClaimHandler, findOperator: FindOperator): GrpcService {
    const implementation: claimWire.ClaimOperatorServer = {
        listUnknown: operatorHandler(findOperator, request => handler.listUnknown(request)),
    };
    return { definition: claimWire.ClaimOperatorService, implementation };
}

/** Returns the service that lets operators start, change and list rollouts. */
export function rolloutOperatorService(handler: RolloutOperatorHandler, findOperator: FindOperator): GrpcService {
    const implementation: rolloutWire.RolloutOperatorServer = {
        startRollout: operatorHandler(findOperator, (request, operator) => handler.start({ ...request, author: operator })),
        changeRollout: operatorHandler(findOperator, (request, operator) => handler.change({ ...request, author: operator })),
        listRollouts: operatorHandler(findOperator, request => handler.list(request)),
    };
    return { definition: rolloutWire.RolloutOperatorService, implementation };
}

function toTimelineFeed(call: ServerWritableStream<wire.ReadTimelineRequest, wire.EventRecord>): TimelineFeed {
    return {
        send: event => call.write(event),
        end: () => call.end(),
        onDrain: listener => call.on("drain", listener),
        onClose: listener => {
            call.on("cancelled", listener);
            call.on("close", listener);
        },
    };
}
