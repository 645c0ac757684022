"""Tests of the comparison with the brute-force scan. If it missed a kind of wrong
answer, scripts/demo and scripts/faults would pass although answers are wrong."""

import copy
import unittest

import catalogue


class CheckAnswerTest(unittest.TestCase):
    def setUp(self):
        documents = [catalogue.Document(f"d{i}", f"title {i}", "oak " * (i % 3) + "wheel")
                     for i in range(30)]
        self.snapshots = {
            version: catalogue.Snapshot(version, catalogue.Catalogue(documents),
                                        ["s0", "s1", "s2"], str(version))
            for version in (1, 2)}
        self.assertNotEqual(self.snapshots[1].sizes, self.snapshots[2].sizes)

    def answer(self, missing=(), limit=5, version=1):
        snapshot = self.snapshots[version]
        searched = 30 - sum(snapshot.sizes[s] for s in missing)
        hits = snapshot.scan("oak", set(missing))[:limit]
        return {"snapshot": version,
                "coverage": {"fraction": searched / 30, "documents_searched": searched,
                             "documents_total": 30, "shards_answered": 3 - len(missing),
                             "shards_total": 3, "missing_shards": list(missing)},
                "hits": [{"id": i, "title": t, "score": s} for i, t, s in hits]}

    def check(self, answer):
        return catalogue.check_answer(answer, "oak", 5, self.snapshots)

    def test_correct_answers_pass(self):
        self.assertIsNone(self.check(self.answer()))
        self.assertIsNone(self.check(self.answer(version=2)))
        self.assertIsNone(self.check(self.answer(missing=["s1"])))

    def test_terms_are_lower_case_ascii_letters_and_digits(self):
        self.assertEqual(catalogue.terms("Foo-bar_2, É x"), ["foo", "bar", "2", "x"])

    def test_wrong_hits_are_detected(self):
        answer = self.answer()
        for change in (lambda a: a["hits"].pop(0), lambda a: a["hits"].reverse(),
                       lambda a: a["hits"][0].update(score=99),
                       lambda a: a["hits"][0].update(title="other"),
                       lambda a: a["hits"].insert(0, a["hits"][0])):
            wrong = copy.deepcopy(answer)
            change(wrong)
            self.assertIsNotNone(self.check(wrong))

    def test_hits_of_a_missing_shard_are_detected(self):
        wrong = self.answer(missing=["s1"])
        wrong["hits"] = self.answer()["hits"]
        self.assertIsNotNone(self.check(wrong))

    def test_hits_of_a_partly_searched_shard_must_be_in_the_scan(self):
        partial = self.answer()
        partial["coverage"].update(documents_searched=20, fraction=20 / 30)
        partial["hits"].pop(1)
        self.assertIsNone(self.check(partial))
        partial["hits"][0]["id"] = "d0"
        self.assertIsNotNone(self.check(partial))

    def test_wrong_coverage_is_detected(self):
        for change in ({"fraction": 0.9}, {"documents_total": 29}, {"shards_answered": 2},
                       {"missing_shards": ["s1"], "shards_answered": 2}):
            wrong = self.answer()
            wrong["coverage"].update(change)
            self.assertIsNotNone(self.check(wrong), change)

    def test_wrong_snapshot_is_detected(self):
        wrong = self.answer(missing=["s1"])
        wrong["snapshot"] = 2
        self.assertIsNotNone(self.check(wrong))
        wrong["snapshot"] = 3
        self.assertIsNotNone(self.check(wrong))


if __name__ == "__main__":
    unittest.main()
