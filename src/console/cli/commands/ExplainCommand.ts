import type { SourceDocument } from "../../../state/document/index.js";
import type { DaemonClient, ExplainedRequest } from "../../../transport/operators/index.js";
import { collectTimeline, formatTimeline, parseLogLine } from "../../logs/index.js";
import { createCommand } from "../CliCommand.js";
import {
    createDaemonFailure,
    DAEMON_FLAGS,
    JSON_FLAG,
    openDaemon,
    readFile,
    STORE_FLAGS,
    withStore,
} from "../CliConnections.js";
import type { CliContext } from "../CliContext.js";
import { writeResult } from "../CliContext.js";
import { requireDocument } from "../CliVersions.js";
import { CommandFailure, ExitCode } from "../ExitCode.js";

/** Fields of a daemon's explanation that are shown as text; `--json` prints all of them. */
interface Explanation {
    readonly version?: number;
    readonly route?: string;
    readonly service?: string;
    readonly class?: string;
    readonly repeatable?: boolean;
    readonly servers?: readonly ExplainedServer[];
    readonly keyOrder?: readonly string[];
}

interface ExplainedServer {
    readonly id: string;
    readonly failureDomain: string;
    readonly distance: number;
    readonly hop: string;
    readonly inFlight: number;
    readonly utilization: number;
    readonly isEjected: boolean;
}

/** Labels of the distances that a daemon reports, which are indexes of this list. */
const DISTANCE_LABELS = ["own failure domain", "own region", "another region"];

const REQUEST_PATTERN = /^(?:([A-Za-z]+) +)?(\/\S*)$/;

/** Parses `METHOD /path` or `/path`, which stands for GET; undefined when the text is a name. */
function parseRequest(text: string): ExplainedRequest | undefined {
    const match = REQUEST_PATTERN.exec(text.trim());
    return match?.[2] === undefined ? undefined : { method: (match[1] ?? "GET").toUpperCase(), path: match[2] };
}

/** Lists a matching request for each route with a name, or of the service with that name. */
function listRequests(source: SourceDocument, text: string): readonly ExplainedRequest[] {
    const [kind, name] = text.includes("/") ? text.split("/", 2) : [undefined, text];
    const routes = Object.entries(source.routes).filter(([route, { service }]) =>
        kind !== "service" && route === name || kind !== "route" && service === name
    );
    return routes.map(([, { match }]) => ({
        ...(match.host === undefined ? {} : { host: match.host }),
        method: match.methods?.[0] ?? "GET",
        path: match.path,
    }));
}

function formatServer({ distance, failureDomain, hop, id, inFlight, isEjected, utilization }: ExplainedServer): string {
    const place = `${failureDomain} (${DISTANCE_LABELS[distance] ?? "elsewhere"})`;
    const load = `${inFlight} in flight, ${Math.round(utilization * 100)}% used`;
    return `  ${id} in ${place}: ${hop}, ${load}${isEjected ? ", ejected" : ""}`;
}

function formatExplanation(request: ExplainedRequest, explanation: Explanation): readonly string[] {
    const { keyOrder = [], repeatable, route, servers = [], service, version } = explanation;
    const title = `${request.method} ${request.path}`;
    if (version === undefined) {
        return [`${title}: no version is in force on this daemon.`];
    }
    if (route === undefined) {
        return [`${title}: no route of version ${version} matches.`];
    }
    const repeat = repeatable === true ? "repeatable" : "runs at most once";
    return [
        `${title}: route ${route} to service ${service}, class ${explanation.class}, ${repeat}, version ${version}`,
        ...(servers.length > 0 ? servers.map(formatServer) : ["  no backend server is known"]),
        ...(keyOrder.length > 0 ? [`  order for this key: ${keyOrder.join(", ")}`] : []),
    ];
}

async function explainRequest(daemon: DaemonClient, request: ExplainedRequest): Promise<Explanation> {
    return (await daemon.explain(request)).caseOf<Explanation>({
        Left: error => {
            throw createDaemonFailure(error);
        },
        Right: explanation => explanation,
    });
}

async function requireDaemon(args: Parameters<typeof openDaemon>[0], context: CliContext): Promise<DaemonClient> {
    const daemon = await openDaemon(args, context);
    if (daemon === undefined) {
        throw new CommandFailure(ExitCode.Usage, "The daemon is not known: use --daemon or PAPAYATURN_DAEMON_URL.");
    }
    return daemon;
}

/** Shows the timeline of a request from the logs of daemons. */
async function explainFromLogs(requestId: string, files: string, isJson: boolean | undefined, context: CliContext) {
    const texts = await Promise.all(files.split(",").map(file => readFile(context, file)));
    const lines = texts.flatMap(text => text.split("\n").map(parseLogLine)).filter(line => line !== undefined);
    const timeline = collectTimeline(lines, requestId);
    if (timeline === undefined) {
        throw new CommandFailure(
            ExitCode.NotFound,
            `None of ${lines.length} log lines names the request ${requestId}.`,
        );
    }
    writeResult(context, isJson, timeline, formatTimeline(timeline));
    return ExitCode.Success;
}

export const explainCommand = createCommand({
    name: "explain",
    description: "Show where a daemon would send a request and why, or what logs tell of a request that has ended.",
    args: {
        target: {
            description:
                "A request such as \"POST /deposits\", the name of a route or service, or with --logs the id of"
                + " a request.",
            required: true,
            type: "positional",
        },
        host: { description: "Host name of the request.", type: "string" },
        key: { description: "Idempotency key of the request.", type: "string" },
        logs: {
            description: "Log files of daemons, separated by commas; - is standard input.",
            type: "string",
            valueHint: "files",
        },
        ...DAEMON_FLAGS,
        ...STORE_FLAGS,
        ...JSON_FLAG,
    },
    examples: [
        "papayaturn explain \"POST /deposits\"",
        "papayaturn explain pay-deposit",
        "papayaturn explain service/ledger",
        "papayaturn explain 9c41d07be2a35f68 --logs erie-a-1.log,erie-a-2.log",
    ],
    async run(args, context) {
        if (args.logs !== undefined) {
            return explainFromLogs(args.target, args.logs, args.json, context);
        }
        const daemon = await requireDaemon(args, context);
        const request = parseRequest(args.target);
        const requests = request === undefined
            ? listRequests(
                (await withStore(args, context, store => requireDocument(store, undefined))).source,
                args.target,
            )
            : [request];
        if (requests.length === 0) {
            throw new CommandFailure(
                ExitCode.NotFound,
                `The current version has no route or service "${args.target}".`,
            );
        }
        const explained = await Promise.all(requests.map(async item => {
            const { host = item.host, key } = args;
            const query = { ...item, ...(host === undefined ? {} : { host }), ...(key === undefined ? {} : { key }) };
            return { explanation: await explainRequest(daemon, query), request: query };
        }));
        const lines = explained.flatMap(item => formatExplanation(item.request, item.explanation));
        writeResult(context, args.json, { requests: explained }, lines);
        const isRouted = explained.some(item => item.explanation.route !== undefined);
        return isRouted ? ExitCode.Success : ExitCode.NotFound;
    },
});
