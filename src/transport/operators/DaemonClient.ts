/** Client for operators' calls to the control interface of a daemon. */
import type { Either } from "purify-ts/Either";
import { Left, Right } from "purify-ts/Either";
import { request } from "undici";

export interface DaemonClientOptions {
    /** Base address, for example `http://127.0.0.1:7403`. */
    readonly url: string;
    /** Bearer token; undefined sends none. */
    readonly token: string | undefined;
    readonly timeoutMs: number;
}

/** The request whose route and server a daemon explains. */
export interface ExplainedRequest {
    readonly method: string;
    readonly path: string;
    readonly host?: string;
    readonly key?: string;
}

/** Why a call to a daemon gave no result. */
export interface DaemonError {
    readonly kind: "unreachable" | "refused" | "malformed";
    readonly detail: string;
}

export interface DaemonClient {
    readStatus(): Promise<Either<DaemonError, object>>;
    explain(query: ExplainedRequest): Promise<Either<DaemonError, object>>;
}

/** Maximum characters of an answer that an error quotes. */
const MAXIMUM_DETAIL_LENGTH = 200;

function parseAnswer(text: string): Either<DaemonError, object> {
    try {
        const value: unknown = JSON.parse(text);
        if (typeof value === "object" && value !== null) {
            return Right(value);
        }
    }
    catch {
        // Reported as malformed below.
    }
    return Left({ detail: "The daemon's answer is no JSON object.", kind: "malformed" });
}

async function fetchAnswer(options: DaemonClientOptions, path: string): Promise<Either<DaemonError, object>> {
    try {
        const response = await request(new URL(path, options.url), {
            headers: options.token === undefined ? {} : { authorization: `Bearer ${options.token}` },
            signal: AbortSignal.timeout(options.timeoutMs),
        });
        const text = await response.body.text();
        return response.statusCode === 200
            ? parseAnswer(text)
            : Left({
                detail: `The daemon answered ${response.statusCode}: ${text.slice(0, MAXIMUM_DETAIL_LENGTH)}`,
                kind: "refused",
            });
    }
    catch (error) {
        const detail = `No answer from the daemon at ${options.url}: ${(error as Error).message}.`;
        return Left({ detail, kind: "unreachable" });
    }
}

/** Creates a client of one daemon. */
export function createDaemonClient(options: DaemonClientOptions): DaemonClient {
    return {
        explain: query => fetchAnswer(options, `/v1/explain?${new URLSearchParams({ ...query })}`),
        readStatus: () => fetchAnswer(options, "/v1/status"),
    };
}
