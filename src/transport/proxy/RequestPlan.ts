import type { IncomingMessage } from "node:http";
import { hasDotSegment, matchRoute } from "../../coordination/routing/index.js";
import type { RouteQuery } from "../../coordination/routing/index.js";
import { copyRequestHeaders } from "../../protocol/framing/index.js";
import {
    IDEMPOTENCY_KEY_HEADER,
    IDEMPOTENCY_KEY_MAXIMUM_LENGTH,
    MeshHeader,
    parseDeadlineMs,
    RefusalReason,
    REQUEST_ID_HEADER,
} from "../../protocol/request/index.js";
import type { RouteSettings, ServiceSettings } from "../../state/document/index.js";
import type { MeshView } from "../../state/view/index.js";
import { buildRefusal } from "./AttemptResult.js";
import type { AttemptResult } from "./AttemptResult.js";

/** Route, service and limits that apply to a caller's request. */
export interface RequestPlan {
    readonly route: RouteSettings;
    readonly service: ServiceSettings;
    /** Version of the configuration that contains the route. */
    readonly version: number;
    /** Path and query. */
    readonly target: string;
    readonly headers: readonly string[];
    /** Present for a route that is not repeatable. */
    readonly key: string | undefined;
    readonly timeoutMs: number;
    /** Whether the caller's deadline is shorter than the route's timeout. */
    readonly isTimeoutShortened: boolean;
}

/** Parsed request target, and the query that selects its route. */
export interface RequestTarget {
    readonly target: string;
    readonly query: RouteQuery;
}

/** Plans a caller's request, or refuses it when it is malformed or no route applies. */
export function planRequest(
    request: IncomingMessage,
    requestId: string,
    view: MeshView,
): RequestPlan | AttemptResult {
    const { configuration } = view;
    if (configuration === undefined) {
        return buildRefusal(RefusalReason.Unsettled, "no configuration is in force on this daemon yet");
    }
    if (request.headers.upgrade !== undefined) {
        return buildRefusal(RefusalReason.UpgradeRefused, "protocol upgrades are not supported");
    }
    const target = parseTarget(request);
    if (target === undefined || countHeader(request.rawHeaders, "host") > 1) {
        return buildRefusal(RefusalReason.BadRequest, "the request target or the Host header is malformed");
    }
    const deadlineMs = parseDeadlineMs(request.headers[MeshHeader.Deadline]);
    if (deadlineMs === undefined && request.headers[MeshHeader.Deadline] !== undefined) {
        return buildRefusal(RefusalReason.BadRequest, `${MeshHeader.Deadline} is not a number of milliseconds`);
    }
    const route = matchRoute(configuration.document, target.query);
    const service = route === undefined ? undefined : configuration.document.services[route.service];
    if (route === undefined || service === undefined) {
        return buildRefusal(RefusalReason.NoRoute, "no route matches");
    }
    const key = route.repeatable ? undefined : parseKey(request);
    if (!route.repeatable && key === undefined) {
        return buildRefusal(
            RefusalReason.MissingKey,
            `route ${route.name} needs one ${IDEMPOTENCY_KEY_HEADER} header of 1 to `
                + `${IDEMPOTENCY_KEY_MAXIMUM_LENGTH} characters`,
        );
    }
    const headers = copyRequestHeaders(request.rawHeaders);
    if (request.headers[REQUEST_ID_HEADER] === undefined) {
        headers.push(REQUEST_ID_HEADER, requestId);
    }
    const isShortened = deadlineMs !== undefined && deadlineMs < route.timeoutMs;
    return {
        route,
        service,
        target: target.target,
        headers,
        key,
        timeoutMs: isShortened ? deadlineMs : route.timeoutMs,
        isTimeoutShortened: isShortened,
        version: configuration.version,
    };
}

export function isRequestPlan(planned: RequestPlan | AttemptResult): planned is RequestPlan {
    return "route" in planned;
}

const ABSOLUTE_FORM_PATTERN = /^http:\/\/([^/?#@]+)(\/[^#]*)?$/i;

/** Parses origin form and absolute form; undefined for others and for paths that could leave the route's prefix. */
export function parseTarget(request: IncomingMessage): RequestTarget | undefined {
    let target = request.url ?? "";
    let host = request.headers.host;
    if (!target.startsWith("/")) {
        const absolute = ABSOLUTE_FORM_PATTERN.exec(target);
        if (absolute === null) {
            return undefined;
        }
        host = absolute[1];
        target = absolute[2] ?? "/";
    }
    const end = target.indexOf("?");
    const path = end < 0 ? target : target.slice(0, end);
    if (hasDotSegment(path)) {
        return undefined;
    }
    return { target, query: { method: request.method ?? "", path, host: parseHostName(host) } };
}

function parseHostName(host: string | undefined): string | undefined {
    return host?.toLowerCase().replace(/:\d*$/, "");
}

function parseKey(request: IncomingMessage): string | undefined {
    const key = request.headers[IDEMPOTENCY_KEY_HEADER];
    return typeof key === "string" && key.length > 0 && key.length <= IDEMPOTENCY_KEY_MAXIMUM_LENGTH
            && countHeader(request.rawHeaders, IDEMPOTENCY_KEY_HEADER) === 1
        ? key
        : undefined;
}

function countHeader(rawHeaders: readonly string[], name: string): number {
    let count = 0;
    for (let index = 0; index < rawHeaders.length; index += 2) {
        if (rawHeaders[index]?.toLowerCase() === name) {
            count++;
        }
    }
    return count;
}
