"""Catalogue, shard files and the brute-force scan with which answers are compared."""

import collections
import json
import random
import re
import subprocess
import zlib

Document = collections.namedtuple("Document", "id title description")


def terms(text):
    """Lower-case runs of ASCII letters and digits, split as by the backend servers."""
    return [t.lower() for t in re.findall(r"[A-Za-z0-9]+", text)]


def read_packages():
    """All packages that `apt-cache dumpavail` lists, as documents."""
    text = subprocess.run(["apt-cache", "dumpavail"], check=True,
                          capture_output=True).stdout.decode("utf-8", "replace")
    documents, seen = [], set()
    for record in text.split("\n\n"):
        fields = dict(line.split(": ", 1) for line in record.splitlines()
                      if ": " in line and not line.startswith(" "))
        if "Package" not in fields:
            continue
        name = fields["Package"]
        if name in seen:  # another version of a package
            name = f'{name}={fields["Version"]}:{fields["Architecture"]}'
        seen.add(name)
        documents.append(Document(
            name, fields["Package"],
            f'{fields.get("Section", "")}: {fields.get("Description", "")}'))
    return documents


def make_documents(count, seed):
    """Random documents about wooden railway parts."""
    rng = random.Random(seed)
    words = ["oak", "beech", "birch", "wheel", "axle", "track", "bridge", "coupler",
             "red", "blue", "long", "short", "curved", "straight", "magnet", "switch"]
    return [Document(f"part-{i:05d}", " ".join(rng.sample(words, 2)),
                     " ".join(rng.choices(words, k=8))) for i in range(count)]


class Catalogue:
    """Documents and the brute-force scan over them."""

    def __init__(self, documents):
        self.documents = documents
        self._counts = [collections.Counter(terms(d.title) + terms(d.description))
                        for d in documents]
        self._scans = {}

    def scan(self, statement):
        """All matches, best first: [(document number, (id, title, score))]."""
        if statement not in self._scans:
            query_terms = set(terms(statement))
            matches = []
            for number, counts in enumerate(self._counts):
                if query_terms and all(w in counts for w in query_terms):
                    document = self.documents[number]
                    score = sum(counts[w] for w in query_terms)
                    matches.append((number, (document.id, document.title, score)))
            matches.sort(key=lambda match: (-match[1][2], match[1][0]))
            self._scans[statement] = matches
        return self._scans[statement]


class Snapshot:
    """One index version of one service: a catalogue and its partitioning into shards.
    `salt` varies the partitioning."""

    def __init__(self, version, catalogue, shards, salt=""):
        self.version = version
        self.catalogue = catalogue
        self.shards = shards
        self.shard_of = [shards[zlib.crc32((salt + d.title).encode()) % len(shards)]
                         for d in catalogue.documents]
        self.sizes = {s: 0 for s in shards}
        for shard in self.shard_of:
            self.sizes[shard] += 1
        self.document_count = len(catalogue.documents)

    def write(self, directory, service):
        """Writes one file for each shard; returns the paths by shard."""
        lines = {s: [json.dumps({"version": self.version, "shard": s,
                                 "documents": self.sizes})] for s in self.shards}
        for document, shard in zip(self.catalogue.documents, self.shard_of):
            lines[shard].append(json.dumps(document._asdict()))
        paths = {}
        for shard in self.shards:
            paths[shard] = f"{directory}/{service}.v{self.version}.{shard}.jsonl"
            with open(paths[shard], "w", encoding="utf-8") as file:
                file.write("\n".join(lines[shard]) + "\n")
        return paths

    def scan(self, statement, missing):
        """All hits outside the missing shards, best first."""
        return [hit for number, hit in self.catalogue.scan(statement)
                if self.shard_of[number] not in missing]


def check_coverage(answer, snapshots):
    """Describes what is wrong with the coverage of an answer or error; returns None if
    it is correct."""
    snapshot = snapshots.get(answer["snapshot"])
    if snapshot is None:
        return f'unknown snapshot {answer["snapshot"]}'
    coverage = answer["coverage"]
    searched = coverage["documents_searched"]
    reachable = snapshot.document_count - sum(snapshot.sizes[s]
                                              for s in coverage["missing_shards"])
    if coverage["documents_total"] != snapshot.document_count:
        return f'total {coverage["documents_total"]} instead of {snapshot.document_count}'
    if abs(coverage["fraction"] - searched / snapshot.document_count) > 1e-9:
        return f'fraction {coverage["fraction"]}, {searched} of ' \
            f'{snapshot.document_count} searched'
    if searched > reachable:
        return f"{searched} searched, {reachable} in the shards that answered"
    if coverage["shards_answered"] + len(coverage["missing_shards"]) != \
            coverage["shards_total"]:
        return f"shards do not add up: {coverage}"
    return None


def check_answer(answer, statement, limit, snapshots, offset=0):
    """Compares a search answer with the scan of its snapshot. Describes what is wrong
    or returns None. Hits are compared exactly only if each shard that answered was
    searched completely."""
    fault = check_coverage(answer, snapshots)
    if fault:
        return fault
    snapshot = snapshots[answer["snapshot"]]
    missing = set(answer["coverage"]["missing_shards"])
    hits = [(h["id"], h["title"], h["score"]) for h in answer["hits"]]
    matches = snapshot.scan(statement, missing)
    reachable_count = snapshot.document_count - sum(snapshot.sizes[s] for s in missing)
    if answer["coverage"]["documents_searched"] == reachable_count:
        if hits != matches[offset:offset + limit]:
            return f"hits {hits[:3]} instead of {matches[offset:offset + 3]}"
    elif not set(hits) <= set(matches):
        return f"hits that are not in the scan: {set(hits) - set(matches)}"
    elif hits != sorted(set(hits), key=lambda h: (-h[2], h[0])):
        return "hits out of order or duplicated"
    return None
