"""A fixed sample of the decoding fuzzer's examples."""

from tests import fuzz_decoding


def test_odd_bytes_do_not_spoil_the_sound_objects_of_a_page():
    fuzz_decoding.fuzz(fuzz_decoding.check_odd_bytes, 40)


def test_odd_objects_do_not_keep_sound_ones_from_being_followed():
    fuzz_decoding.fuzz(fuzz_decoding.check_odd_objects, 120)


def test_odd_rows_of_an_update_do_not_keep_sound_ones_from_being_followed():
    fuzz_decoding.fuzz(fuzz_decoding.check_odd_rows, 80)


def test_odd_answers_raise_the_declared_error():
    fuzz_decoding.fuzz(fuzz_decoding.check_odd_answer, 100)


def test_odd_frames_raise_the_declared_error():
    fuzz_decoding.fuzz(fuzz_decoding.check_odd_frame, 200)


def test_odd_messages_raise_the_declared_error():
    fuzz_decoding.fuzz(fuzz_decoding.check_odd_messages, 60)
