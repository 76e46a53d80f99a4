/** Overview, export and import of documents. */
import { Body, Controller, Get, Inject, Post, Query, Req, Res } from "@nestjs/common";
import type { FastifyReply, FastifyRequest } from "fastify";
import { formatDocument, parseDocument } from "../../../state/document/index.js";
import { getSession } from "../access/index.js";
import { renderDocumentPage, renderErrorPage, renderImportPage, renderStoreDownPage } from "../pages/index.js";
import type { AcceptedDocument, ReadResult } from "../ports/index.js";
import type { ConsoleContext } from "./ConsoleContext.js";
import { CONSOLE_CONTEXT, sendPage } from "./ConsoleContext.js";
import { DraftResponder } from "./DraftResponder.js";

@Controller()
export class DocumentController {
    constructor(
        @Inject(CONSOLE_CONTEXT) private readonly context: ConsoleContext,
        @Inject(DraftResponder) private readonly responder: DraftResponder,
    ) {}

    @Get("document")
    async show(@Req() request: FastifyRequest, @Res() reply: FastifyReply): Promise<void> {
        const session = getSession(request);
        const read = await this.context.port.readCurrent();
        read.caseOf({
            Left: failure => sendPage(reply, 503, renderStoreDownPage(session, failure.detail)),
            Right: current =>
                current === undefined
                    ? reply.redirect("/import", 303)
                    : sendPage(reply, 200, renderDocumentPage(session, current)),
        });
    }

    @Get("document.yaml")
    async export(
        @Query("version") version: string | undefined,
        @Req() request: FastifyRequest,
        @Res() reply: FastifyReply,
    ): Promise<void> {
        const session = getSession(request);
        const read = await this.readRequestedVersion(version);
        read.caseOf({
            Left: failure => sendPage(reply, 503, renderStoreDownPage(session, failure.detail)),
            Right: found =>
                found === undefined
                    ? sendPage(
                        reply,
                        404,
                        renderErrorPage(session, "No such version", "The store holds no such version."),
                    )
                    : reply.type("application/yaml; charset=utf-8")
                        .header("content-disposition", `attachment; filename="document-${found.version}.yaml"`)
                        .send(formatDocument(found.document)),
        });
    }

    @Get("import")
    async showImport(@Req() request: FastifyRequest, @Res() reply: FastifyReply): Promise<void> {
        const session = getSession(request);
        const read = await this.context.port.readCurrent();
        read.caseOf({
            Left: failure => sendPage(reply, 503, renderStoreDownPage(session, failure.detail)),
            Right: current =>
                sendPage(
                    reply,
                    200,
                    renderImportPage({ baseVersion: current?.version ?? 0, findings: [], session, text: "" }),
                ),
        });
    }

    @Post("import")
    async import(@Body() body: URLSearchParams, @Req() request: FastifyRequest, @Res() reply: FastifyReply) {
        const session = getSession(request);
        const baseVersion = Number(body.get("baseVersion") ?? 0);
        const text = body.get("text") ?? "";
        const parsed = parseDocument(text);
        if (parsed.isLeft()) {
            const findings = parsed.swap().orDefault([]);
            sendPage(reply, 422, renderImportPage({ baseVersion, findings, session, text }));
            return;
        }
        const edit = { document: parsed.unsafeCoerce(), kind: "replace" } as const;
        await this.responder.review(reply, session, { baseVersion, edit, message: "" });
    }

    private readRequestedVersion(version: string | undefined): ReadResult<AcceptedDocument | undefined> {
        return version === undefined
            ? this.context.port.readCurrent()
            : this.context.port.readVersion(Number(version));
    }
}
