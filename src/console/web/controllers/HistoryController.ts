/** History of versions, and restoring the document of an earlier one. */
import { Controller, Get, Inject, Param, Post, Req, Res } from "@nestjs/common";
import type { FastifyReply, FastifyRequest } from "fastify";
import { getSession } from "../access/index.js";
import { computeDifference } from "../edits/index.js";
import { renderErrorPage, renderHistoryPage, renderStoreDownPage, renderVersionPage } from "../pages/index.js";
import type { ConsoleContext } from "./ConsoleContext.js";
import { CONSOLE_CONTEXT, sendPage } from "./ConsoleContext.js";
import { DraftResponder } from "./DraftResponder.js";

/** Limited because each version takes one read of its manifest. */
const MAXIMUM_SHOWN_VERSIONS = 50;

@Controller("history")
export class HistoryController {
    constructor(
        @Inject(CONSOLE_CONTEXT) private readonly context: ConsoleContext,
        @Inject(DraftResponder) private readonly responder: DraftResponder,
    ) {}

    @Get()
    async list(@Req() request: FastifyRequest, @Res() reply: FastifyReply): Promise<void> {
        const session = getSession(request);
        const read = await this.context.port.readHistory(MAXIMUM_SHOWN_VERSIONS);
        read.caseOf({
            Left: failure => sendPage(reply, 503, renderStoreDownPage(session, failure.detail)),
            Right: records => sendPage(reply, 200, renderHistoryPage(session, records, MAXIMUM_SHOWN_VERSIONS)),
        });
    }

    @Get(":version")
    async show(
        @Param("version") version: string,
        @Req() request: FastifyRequest,
        @Res() reply: FastifyReply,
    ): Promise<void> {
        const session = getSession(request);
        const { port } = this.context;
        const number = Number(version);
        const [found, before, current] = await Promise.all([
            port.readVersion(number),
            port.readVersion(number - 1),
            port.readCurrent(),
        ]);
        const accepted = found.orDefault(undefined);
        if (found.isLeft() || before.isLeft() || current.isLeft()) {
            const detail = [found, before, current].flatMap(read =>
                read.swap().map(failure => failure.detail).toMaybe().toList()
            );
            sendPage(reply, 503, renderStoreDownPage(session, detail[0] ?? ""));
            return;
        }
        if (accepted === undefined) {
            sendPage(reply, 404, renderErrorPage(session, "No such version", "The store holds no such version."));
            return;
        }
        const changes = computeDifference(before.orDefault(undefined)?.document, accepted.document);
        const currentVersion = current.orDefault(undefined)?.version ?? 0;
        sendPage(reply, 200, renderVersionPage({ accepted, changes, currentVersion, session }));
    }

    @Post(":version/restore")
    async restore(
        @Param("version") version: string,
        @Req() request: FastifyRequest,
        @Res() reply: FastifyReply,
    ): Promise<void> {
        const session = getSession(request);
        const [found, current] = await Promise.all([
            this.context.port.readVersion(Number(version)),
            this.context.port.readCurrent(),
        ]);
        const accepted = found.orDefault(undefined);
        if (accepted === undefined || current.isLeft()) {
            sendPage(reply, 503, renderStoreDownPage(session, `Version ${version} can't be read.`));
            return;
        }
        const edit = { document: accepted.document, kind: "restore", version: accepted.version } as const;
        const baseVersion = current.orDefault(undefined)?.version ?? 0;
        await this.responder.review(reply, session, { baseVersion, edit, message: "" });
    }
}
