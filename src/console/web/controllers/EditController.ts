/** Edit forms, and the review and publication of drafts. */
import { Body, Controller, Get, HttpException, Inject, NotFoundException, Param, Post, Req, Res } from "@nestjs/common";
import type { FastifyReply, FastifyRequest } from "fastify";
import { getSession } from "../access/index.js";
import type { Draft, EditTarget } from "../edits/index.js";
import { getTargetSettings, isEntrySection, parseDraft } from "../edits/index.js";
import { buildFieldGroups, collectSubmittedServers, listKnownNames, parseFormSettings } from "../forms/index.js";
import { renderStoreDownPage } from "../pages/index.js";
import type { AcceptedDocument } from "../ports/index.js";
import type { ConsoleContext } from "./ConsoleContext.js";
import { CONSOLE_CONTEXT, sendPage } from "./ConsoleContext.js";
import { DraftResponder, renderForm } from "./DraftResponder.js";

const INCOMPLETE_FORM_STATUS = 400;

function requireDraft(body: unknown): Draft {
    const draft = body instanceof URLSearchParams ? parseDraft(body) : undefined;
    if (draft === undefined) {
        throw new HttpException("The form is incomplete.", INCOMPLETE_FORM_STATUS);
    }
    return draft;
}

function parseTarget(section: string | null, name: string): EditTarget {
    if (section === "mesh") {
        return { section };
    }
    if (!isEntrySection(section)) {
        throw new NotFoundException("The document has no such section.");
    }
    return { name, section };
}

/** Parses a submitted edit form. */
function parseForm(body: URLSearchParams): Draft {
    const target = parseTarget(body.get("section"), (body.get("name") ?? "").trim());
    const common = { baseVersion: Number(body.get("baseVersion") ?? 0), message: body.get("message") ?? "" };
    if (body.get("action") === "remove") {
        return { ...common, edit: { kind: "remove", target } };
    }
    const groups = buildFieldGroups(target, collectSubmittedServers(body), listKnownNames(undefined));
    const piece = parseFormSettings(groups, body);
    return { ...common, edit: { isNew: body.get("isNew") === "true", kind: "set", piece, target } };
}

@Controller()
export class EditController {
    constructor(
        @Inject(CONSOLE_CONTEXT) private readonly context: ConsoleContext,
        @Inject(DraftResponder) private readonly responder: DraftResponder,
    ) {}

    @Get("edit/mesh")
    showMesh(@Req() request: FastifyRequest, @Res() reply: FastifyReply): Promise<void> {
        return this.showForm(request, reply, { section: "mesh" }, false);
    }

    @Get("edit/:section")
    showNew(@Param("section") section: string, @Req() request: FastifyRequest, @Res() reply: FastifyReply) {
        return this.showForm(request, reply, parseTarget(section, ""), true);
    }

    @Get("edit/:section/:name")
    showEntry(
        @Param("section") section: string,
        @Param("name") name: string,
        @Req() request: FastifyRequest,
        @Res() reply: FastifyReply,
    ): Promise<void> {
        return this.showForm(request, reply, parseTarget(section, name), false);
    }

    /** Shows the form of a draft that was reviewed before. */
    @Post("edit/again")
    async showDraft(@Body() body: unknown, @Req() request: FastifyRequest, @Res() reply: FastifyReply) {
        const { baseVersion, edit, message } = requireDraft(body);
        if (edit.kind !== "set") {
            throw new HttpException("The form is incomplete.", INCOMPLETE_FORM_STATUS);
        }
        await this.sendWithCurrent(
            request,
            reply,
            current => renderForm(getSession(request), current, { ...edit, baseVersion, message }, []),
        );
    }

    @Post("review/form")
    reviewForm(@Body() body: URLSearchParams, @Req() request: FastifyRequest, @Res() reply: FastifyReply) {
        return this.responder.review(reply, getSession(request), parseForm(body));
    }

    @Post("review")
    review(@Body() body: unknown, @Req() request: FastifyRequest, @Res() reply: FastifyReply): Promise<void> {
        return this.responder.review(reply, getSession(request), requireDraft(body));
    }

    @Post("publish")
    publish(@Body() body: unknown, @Req() request: FastifyRequest, @Res() reply: FastifyReply): Promise<void> {
        return this.responder.publish(reply, getSession(request), requireDraft(body));
    }

    @Post("publish/outcome")
    resolve(@Body() body: unknown, @Req() request: FastifyRequest, @Res() reply: FastifyReply): Promise<void> {
        return this.responder.resolve(reply, getSession(request), requireDraft(body));
    }

    private showForm(request: FastifyRequest, reply: FastifyReply, target: EditTarget, isNew: boolean): Promise<void> {
        return this.sendWithCurrent(request, reply, current => {
            const piece = isNew ? {} : getTargetSettings(current?.document, target);
            if (piece === undefined) {
                throw new NotFoundException("The document has no such entry.");
            }
            const content = { baseVersion: current?.version ?? 0, isNew, message: "", piece, target };
            return renderForm(getSession(request), current, content, []);
        });
    }

    /** Sends a page that is rendered from the current document. */
    private async sendWithCurrent(
        request: FastifyRequest,
        reply: FastifyReply,
        render: (current: AcceptedDocument | undefined) => string,
    ): Promise<void> {
        const read = await this.context.port.readCurrent();
        read.caseOf({
            Left: failure => sendPage(reply, 503, renderStoreDownPage(getSession(request), failure.detail)),
            Right: current => sendPage(reply, 200, render(current)),
        });
    }
}
