"""Catalogue, shard files and the brute-force scan that answers are compared with."""

import collections
import json
import random
import re
import subprocess
import zlib

Document = collections.namedtuple("Document", "id title description")


def terms(text):
    """Lower-case runs of ASCII letters and digits, as in section 5.1."""
    return [t.lower() for t in re.findall(r"[A-Za-z0-9]+", text)]


def read_packages():
    """All records of `apt-cache dumpavail`: name, section, description."""
    text = subprocess.run(["apt-cache", "dumpavail"], check=True,
                          capture_output=True).stdout.decode("utf-8", "replace")
    documents, seen = [], set()
    for record in text.split("\n\n"):
        fields = dict(line.split(": ", 1) for line in record.splitlines()
                      if ": " in line and not line.startswith(" "))
        if "Package" not in fields:
            continue
        name = fields["Package"]
        if name in seen:  # several versions of a package
            name = f'{name}={fields["Version"]}:{fields["Architecture"]}'
        seen.add(name)
        documents.append(Document(
            name, fields["Package"],
            f'{fields.get("Section", "")}: {fields.get("Description", "")}'))
    return documents


def make_documents(count, seed):
    """Random catalogue of small wooden parts."""
    source = random.Random(seed)
    words = ["oak", "beech", "birch", "wheel", "axle", "track", "bridge", "coupler",
             "red", "blue", "long", "short", "curved", "straight", "magnet", "switch"]
    return [Document(f"part-{i:05d}", " ".join(source.sample(words, 2)),
                     " ".join(source.choices(words, k=8))) for i in range(count)]


class Catalogue:
    """Documents with the brute-force scan over them."""

    def __init__(self, documents):
        self.documents = documents
        self._counts = [collections.Counter(terms(d.title) + terms(d.description))
                        for d in documents]
        self._scans = {}

    def scan(self, statement):
        """All matches: [(number, (id, title, score))], best first."""
        if statement not in self._scans:
            wanted = set(terms(statement))
            found = []
            for number, counts in enumerate(self._counts):
                if wanted and all(w in counts for w in wanted):
                    document = self.documents[number]
                    score = sum(counts[w] for w in wanted)
                    found.append((number, (document.id, document.title, score)))
            found.sort(key=lambda match: (-match[1][2], match[1][0]))
            self._scans[statement] = found
        return self._scans[statement]


class Snapshot:
    """One index version of one service: a catalogue and its division."""

    def __init__(self, version, catalogue, shards, salt=""):
        self.version = version
        self.catalogue = catalogue
        self.shards = shards
        self.shard_of = [shards[zlib.crc32((salt + d.title).encode()) % len(shards)]
                         for d in catalogue.documents]
        self.sizes = {s: 0 for s in shards}
        for shard in self.shard_of:
            self.sizes[shard] += 1
        self.total = len(catalogue.documents)

    def write(self, directory, service):
        """Writes one file a shard; returns their paths by shard."""
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
        """Hits, best first, without those in the missing shards."""
        return [hit for number, hit in self.catalogue.scan(statement)
                if self.shard_of[number] not in missing]


def check_coverage(answer, snapshots):
    """What is wrong with the coverage of an answer or error, or None."""
    snapshot = snapshots.get(answer["snapshot"])
    if snapshot is None:
        return f'unknown snapshot {answer["snapshot"]}'
    coverage = answer["coverage"]
    searched = coverage["documents_searched"]
    reachable = snapshot.total - sum(snapshot.sizes[s]
                                     for s in coverage["missing_shards"])
    if coverage["documents_total"] != snapshot.total:
        return f'total {coverage["documents_total"]} instead of {snapshot.total}'
    if abs(coverage["fraction"] - searched / snapshot.total) > 1e-9:
        return f'fraction {coverage["fraction"]}, {searched} of {snapshot.total} searched'
    if searched > reachable:
        return f"{searched} searched, {reachable} in the shards that answered"
    if coverage["shards_answered"] + len(coverage["missing_shards"]) != \
            coverage["shards_total"]:
        return f"shards do not add up: {coverage}"
    return None


def check_answer(answer, statement, limit, snapshots, offset=0):
    """Compares a search answer with the scan of its own snapshot. Returns what is
    wrong, or None. Hits are compared exactly if each shard that answered was
    searched whole."""
    fault = check_coverage(answer, snapshots)
    if fault:
        return fault
    snapshot = snapshots[answer["snapshot"]]
    missing = set(answer["coverage"]["missing_shards"])
    hits = [(h["id"], h["title"], h["score"]) for h in answer["hits"]]
    matches = snapshot.scan(statement, missing)
    whole = snapshot.total - sum(snapshot.sizes[s] for s in missing)
    if answer["coverage"]["documents_searched"] == whole:
        if hits != matches[offset:offset + limit]:
            return f"hits {hits[:3]} instead of {matches[offset:offset + 3]}"
    elif not set(hits) <= set(matches):
        return f"hits that the scan does not find: {set(hits) - set(matches)}"
    elif hits != sorted(set(hits), key=lambda h: (-h[2], h[0])):
        return "hits out of order or twice"
    return None
