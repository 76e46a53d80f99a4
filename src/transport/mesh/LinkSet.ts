import type { Link, LinkRelation } from "./Link.js";

/** The open links of one daemon. */
export class LinkSet {
    private readonly links = new Set<Link>();

    add(link: Link): void {
        this.links.add(link);
    }

    delete(link: Link): boolean {
        return this.links.delete(link);
    }

    list(): readonly Link[] {
        return [...this.links];
    }

    listByRelation(relation: LinkRelation): readonly Link[] {
        return this.list().filter(link => link.relation === relation);
    }

    listTreeLinks(): readonly Link[] {
        return this.list().filter(link => link.isTreeLink);
    }

    /** Returns the newest parent; two exist briefly while the daemon changes its parent. */
    getParent(): Link | undefined {
        return this.listByRelation("parent").filter(link => !link.isClosing).at(-1);
    }

    find(id: string, relation?: LinkRelation): Link | undefined {
        return this.list().find(link => link.id === id && (relation === undefined || link.relation === relation));
    }
}
