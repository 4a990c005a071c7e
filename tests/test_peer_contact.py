"""Telling an own cut from an outage of the store by the other daemons' messages."""

from tanagertrail.gateway.peer_contact import RECENT_SECONDS, SILENCE_SECONDS, PeerContact


def test_daemon_that_hears_others_takes_an_outage_of_the_store_for_its_own_cut():
    now = [100.0]
    contact = PeerContact(lambda: now[0])
    assert not contact.was_cut_off(), "there may be no others"
    for _ in range(20):
        contact.note_heard()
        now[0] += SILENCE_SECONDS / 4
        assert not contact.was_cut_off()


def test_cut_is_forgotten_with_the_first_message_after_it():
    now = [100.0]
    contact = PeerContact(lambda: now[0])
    contact.note_heard()
    now[0] += SILENCE_SECONDS + 0.1
    assert contact.was_cut_off()
    for _ in range(3):
        contact.note_heard()
        assert contact.was_cut_off()
        now[0] += RECENT_SECONDS / 3
    assert not contact.was_cut_off()
